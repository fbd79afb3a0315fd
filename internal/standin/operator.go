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

// MissingService is the name of a service that no configuration contains. A change set with a
// route to it is invalid.
const MissingService = "nowhere"

const (
	submitTimeout = 8 * time.Second
	queryTimeout  = 5 * time.Second
)

// Operator submits change sets through one node.
type Operator struct {
	History    *checker.History
	Client     *api.Client
	routePaths sync.Map // by route name, as of the last call of Epoch that returned the route
}

// NewOperator returns an operator that dials from host and uses the API of the node at address.
func NewOperator(host environment.Host, history *checker.History, address string) *Operator {
	return &Operator{History: history, Client: NewAPIClient(host, address)}
}

// Submit sends a change set and records the response.
func (o *Operator) Submit(ctx context.Context, change *api.Change) (*api.ChangeReceipt, error) {
	record := o.newRecord(change)
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

// newRecord returns a record of a change set that is submitted now, with the new destinations of
// each path that it changes.
func (o *Operator) newRecord(change *api.Change) checker.Record {
	record := checker.Record{Kind: checker.ChangeSubmitted, Start: o.History.Now(), Name: change.ID, BaseEpoch: change.Base, ReplacesAll: change.Whole.Value, Destinations: map[string]string{}}
	for _, name := range change.Drop.Value.Mappings {
		if path, ok := o.routePaths.Load(name); ok {
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

// QueryChange queries and records the outcome of a change set: accepted, absent or unknown. An
// absent change set is not an error.
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

// Epoch returns the epoch in force and stores the paths of its routes, which records of later
// change sets need.
func (o *Operator) Epoch(ctx context.Context) (*api.EpochView, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	view, err := o.Client.Epoch(ctx)
	if err != nil {
		return view, err
	}
	for _, route := range view.Config.Mappings {
		o.routePaths.Store(route.Name, route.Path)
	}
	return view, nil
}
