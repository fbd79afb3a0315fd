package standin

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/api"
	"github.com/sumactrestle/sumactrestle/internal/checker"
	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
)

// MissingService is a service that is in no configuration; a change set that leads to it is
// invalid.
const MissingService = "nowhere"

const (
	submitTimeout = 8 * time.Second
	queryTimeout  = 5 * time.Second
)

// Operator submits change sets through one node.
type Operator struct {
	History *checker.History
	Client  *api.Client
	paths   sync.Map // of the routes last seen in force, by name
}

// NewOperator makes an operator at a host, who uses the API of the node at an address.
func NewOperator(host environment.Host, history *checker.History, address string) *Operator {
	return &Operator{History: history, Client: NewAPIClient(host, address)}
}

// Submit sends a change set and records the response.
func (o *Operator) Submit(ctx context.Context, change *api.Change) (*api.ChangeReceipt, error) {
	record := o.recordOf(change)
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	response, err := o.Client.Submit(ctx, change)
	record.Code = CodeOf(err)
	if err == nil {
		record.Outcome, record.Epoch = checker.OutcomeAccepted, response.Epoch
	} else {
		record.Outcome, record.Note = checker.OutcomeRefused, err.Error()
		if problem := problemOf(err); problem == nil || problem.Outcome.Or("") == checker.OutcomeUnknown {
			record.Outcome = checker.OutcomeUnknown
		}
	}
	o.History.Add(record)
	return response, err
}

// recordOf returns a record of a change set that begins now, with where it leads each path.
func (o *Operator) recordOf(change *api.Change) checker.Record {
	record := checker.Record{Kind: checker.ChangeSubmitted, Start: o.History.Now(), Name: change.ID, BaseEpoch: change.Base, ReplacesAll: change.Whole.Value, Destinations: map[string]string{}}
	for _, name := range change.Drop.Value.Mappings {
		if path, ok := o.paths.Load(name); ok {
			record.Destinations[path.(string)] = ""
		}
	}
	for _, route := range change.Put.Value.Mappings {
		record.Names = append(record.Names, route.Name)
		var services []string
		for _, split := range route.To {
			record.Invalid = record.Invalid || split.Service == MissingService
			services = append(services, split.Service)
		}
		record.Destinations[route.Path] = strings.Join(services, ",")
	}
	return record
}

// QueryChange asks what became of a change set: it is accepted, absent or unknown. Absence
// is no error.
func (o *Operator) QueryChange(ctx context.Context, id string) (outcome string, err error) {
	record := checker.Record{Kind: checker.ChangeQueried, Start: o.History.Now(), Name: id}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	response, err := o.Client.AskChange(ctx, api.AskChangeParams{ID: id})
	record.Code = CodeOf(err)
	switch {
	case err == nil:
		record.Outcome, record.Epoch = checker.OutcomeAccepted, response.Epoch
	case record.Code == errcode.ChangeNotFound.Number:
		record.Outcome, err = checker.OutcomeAbsent, nil
	default:
		record.Outcome = checker.OutcomeUnknown
	}
	o.History.Add(record)
	return record.Outcome, err
}

// Epoch reads the epoch in force, and remembers the paths of its routes.
func (o *Operator) Epoch(ctx context.Context) (*api.EpochView, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	view, err := o.Client.Epoch(ctx)
	if err != nil {
		return view, err
	}
	for _, route := range view.Config.Mappings {
		o.paths.Store(route.Name, route.Path)
	}
	return view, nil
}
