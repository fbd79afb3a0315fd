// Stand-in operators and applications, over the generated client.
package standin

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/api"
	"github.com/sumactrestle/sumactrestle/internal/checker"
	"github.com/sumactrestle/sumactrestle/internal/environment"
)

// MissingService is a service that is never there; a change set that names it is
// invalid.
const MissingService = "nowhere"

// Operator submits change sets through one node.
type Operator struct {
	History *checker.History
	Client  *api.Client
	paths   sync.Map // of the mappings last seen in force, by name
}

func NewOperator(n environment.Host, h *checker.History, address string) *Operator {
	return &Operator{History: h, Client: NewAPIClient(n, address)}
}

// CodeOf is the numbered code of a refused call; -1 if there was no answer.
func CodeOf(err error) int {
	var p *api.ProblemStatusCodeWithHeaders
	if errors.As(err, &p) {
		return p.Response.Code
	}
	if err != nil {
		return -1
	}
	return 0
}

// Submit sends a change set and records the receipt.
func (o *Operator) Submit(ctx context.Context, change *api.Change) (*api.ChangeReceipt, error) {
	r := checker.Record{Kind: checker.ChangeSubmitted, Start: o.History.Now(), Name: change.ID, BaseEpoch: change.Base}
	r.ReplacesAll, r.Destinations = change.Whole.Value, map[string]string{}
	for _, name := range change.Drop.Value.Mappings {
		if path, ok := o.paths.Load(name); ok {
			r.Destinations[path.(string)] = ""
		}
	}
	for _, m := range change.Put.Value.Mappings {
		r.Names = append(r.Names, m.Name)
		var services []string
		for _, split := range m.To {
			r.Invalid = r.Invalid || split.Service == MissingService
			services = append(services, split.Service)
		}
		r.Destinations[m.Path] = strings.Join(services, ",")
	}
	limited, end := context.WithTimeout(ctx, 8*time.Second)
	defer end()
	receipt, err := o.Client.Submit(limited, change)
	r.Code = CodeOf(err)
	if err == nil {
		r.Outcome, r.Epoch = "accepted", receipt.Epoch
	} else {
		r.Note = err.Error()
		r.Outcome = "refused"
		var p *api.ProblemStatusCodeWithHeaders
		if !errors.As(err, &p) || p.Response.Outcome.Or("") == "unknown" {
			r.Outcome = "unknown"
		}
	}
	o.History.Add(r)
	return receipt, err
}

// QueryChange asks by id what became of a change set.
func (o *Operator) QueryChange(ctx context.Context, id string) (string, error) {
	r := checker.Record{Kind: checker.ChangeQueried, Start: o.History.Now(), Name: id}
	limited, end := context.WithTimeout(ctx, 5*time.Second)
	defer end()
	receipt, err := o.Client.AskChange(limited, api.AskChangeParams{ID: id})
	r.Code = CodeOf(err)
	switch {
	case err == nil:
		r.Outcome, r.Epoch = "accepted", receipt.Epoch
	case r.Code == 2004:
		r.Outcome, err = "absent", nil
	default:
		r.Outcome = "unknown"
	}
	o.History.Add(r)
	return r.Outcome, err
}

// Epoch reads the epoch in force.
func (o *Operator) Epoch(ctx context.Context) (*api.EpochView, error) {
	limited, end := context.WithTimeout(ctx, 5*time.Second)
	defer end()
	view, err := o.Client.Epoch(limited)
	if err == nil {
		for _, m := range view.Config.Mappings {
			o.paths.Store(m.Name, m.Path)
		}
	}
	return view, err
}
