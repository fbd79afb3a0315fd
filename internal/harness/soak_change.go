package harness

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/api"
	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/standin"
)

const (
	// soakChangePause is the longest pause between two change sets of one operator.
	soakChangePause = 500 * time.Millisecond
	soakOperators   = 3
	// movedRoutes is how many routes are led elsewhere, dropped and put again while clients use them.
	movedRoutes = 3
	// movedBodyBytes is the length of a body that goes to one of them.
	movedBodyBytes = 400
	// racingChanges is how many change sets of one race are submitted against the same epoch.
	racingChanges = 3
)

// submitInSeries submits change sets, each as soon as the last one is answered or a moment
// later, through different nodes. What is refused is tried no more.
func (s *soak) submitInSeries(ctx context.Context, operator int) {
	random := s.random(operator + 1_000_000)
	for i := 0; ctx.Err() == nil; i++ {
		id := fmt.Sprintf("soak%d-%d", operator, i)
		switch random.IntN(4) {
		case 0:
			s.submitRoute(ctx, s.anyOperator(random), id)
		case 1:
			s.submitRace(ctx, id, random)
		default:
			s.submitMove(ctx, id, random)
		}
		pause(ctx, time.Duration(random.Int64N(int64(soakChangePause))))
	}
}

// anyOperator is an operator at a core node that is drawn.
func (s *soak) anyOperator(random *rand.Rand) *standin.Operator {
	node := s.fleet.CoreMachines()[random.IntN(s.Shape.Cores)]
	return standin.NewOperator(environment.NewHost(""), s.history, node.APIAddress())
}

// submitMove leads a route in use elsewhere, drops it, or puts it again where it was dropped.
func (s *soak) submitMove(ctx context.Context, id string, random *rand.Rand) {
	operator := s.anyOperator(random)
	view, err := operator.Epoch(ctx)
	if err != nil {
		return
	}
	operator.Submit(ctx, s.moveChange(id, view, random)) // the history has its outcome
}

// submitRace submits change sets against one epoch at once, through nodes that are drawn. They
// move routes, so that at most one of them can be in force.
func (s *soak) submitRace(ctx context.Context, id string, random *rand.Rand) {
	var operators []*standin.Operator
	var changes []*api.Change
	for i := range racingChanges {
		operator := s.anyOperator(random)
		view, err := operator.Epoch(ctx)
		if err != nil {
			return
		}
		change := s.moveChange(fmt.Sprintf("%s-%d", id, i), view, random)
		if i > 0 {
			change.Base = changes[0].Base
		}
		operators, changes = append(operators, operator), append(changes, change)
	}
	var race sync.WaitGroup
	for i, operator := range operators {
		race.Go(func() { operator.Submit(ctx, changes[i]) })
	}
	race.Wait()
}

// moveChange is a change set that moves one of the moved routes.
func (s *soak) moveChange(id string, view *api.EpochView, random *rand.Rand) *api.Change {
	name := movedRoute(random)
	service := s.Shape.Loads[random.IntN(len(s.Shape.Loads))].Service
	change := &api.Change{ID: id, Base: view.Epoch}
	isThere := slices.ContainsFunc(view.Config.Mappings, func(m api.Mapping) bool { return m.Name == name })
	if isThere && random.IntN(3) == 0 {
		change.Drop = api.NewOptDrops(api.Drops{Mappings: []string{name}})
		return change
	}
	change.Put = api.NewOptConfig(api.Config{Mappings: []api.Mapping{{
		Name: name, Path: "/" + name, To: []api.Split{{Service: service, Weight: 1}}, Deadline: api.NewOptInt64(routeDeadlineMillis),
	}}})
	return change
}

// movedRoute is the name of a route that is moved; its path is the same behind a slash.
func movedRoute(random *rand.Rand) string { return fmt.Sprint("moved", random.IntN(movedRoutes)) }
