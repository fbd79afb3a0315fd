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
	// maxChangePause is the longest pause between two change sets of one operator.
	maxChangePause    = 500 * time.Millisecond
	soakOperatorCount = 3
	// movedRouteCount is the number of routes that are retargeted, dropped and restored while clients
	// use them.
	movedRouteCount = 3
	// movedBodyBytes is the body length of a request to a moved route.
	movedBodyBytes = 400
	// racingChangeCount is the number of change sets that are submitted at once on one base epoch.
	racingChangeCount = 3
)

// submitChanges submits change sets one after another through random nodes, each at most
// maxChangePause after the previous response, until the context ends. It does not retry refused ones.
func (s *soak) submitChanges(ctx context.Context, operator int) {
	random := s.newRandom(operator + 1_000_000)
	for i := 0; ctx.Err() == nil; i++ {
		id := fmt.Sprintf("soak%d-%d", operator, i)
		switch random.IntN(4) {
		case 0:
			s.submitRoute(ctx, s.randomOperator(random), id)
		case 1:
			s.submitRace(ctx, id, random)
		default:
			s.submitMove(ctx, id, random)
		}
		pause(ctx, time.Duration(random.Int64N(int64(maxChangePause))))
	}
}

// randomOperator returns an operator that uses a random core node.
func (s *soak) randomOperator(random *rand.Rand) *standin.Operator {
	node := s.fleet.CoreMachines()[random.IntN(s.Shape.Cores)]
	return standin.NewOperator(environment.NewHost(""), s.history, node.APIAddress())
}

// submitMove retargets or drops a moved route, or restores it if it was dropped.
func (s *soak) submitMove(ctx context.Context, id string, random *rand.Rand) {
	operator := s.randomOperator(random)
	view, err := operator.Epoch(ctx)
	if err != nil {
		return
	}
	operator.Submit(ctx, s.moveChange(id, view, random)) // the outcome is in the history
}

// submitRace submits change sets concurrently through random nodes, all on one base epoch, so that at
// most one of them can take effect.
func (s *soak) submitRace(ctx context.Context, id string, random *rand.Rand) {
	var operators []*standin.Operator
	var changes []*api.Change
	for i := range racingChangeCount {
		operator := s.randomOperator(random)
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

// moveChange returns a change set that retargets, drops or restores a random moved route.
func (s *soak) moveChange(id string, view *api.EpochView, random *rand.Rand) *api.Change {
	name := randomMovedRoute(random)
	service := s.Shape.Loads[random.IntN(len(s.Shape.Loads))].Service
	change := &api.Change{ID: id, Base: view.Epoch}
	exists := slices.ContainsFunc(view.Config.Mappings, func(m api.Mapping) bool { return m.Name == name })
	if exists && random.IntN(3) == 0 {
		change.Drop = api.NewOptDrops(api.Drops{Mappings: []string{name}})
		return change
	}
	change.Put = api.NewOptConfig(api.Config{Mappings: []api.Mapping{{
		Name: name, Path: "/" + name, To: []api.Split{{Service: service, Weight: 1}}, Deadline: api.NewOptInt64(routeDeadlineMillis),
	}}})
	return change
}

// randomMovedRoute returns the name of a random moved route. The route's path is "/" and its name.
func randomMovedRoute(random *rand.Rand) string {
	return fmt.Sprint("moved", random.IntN(movedRouteCount))
}
