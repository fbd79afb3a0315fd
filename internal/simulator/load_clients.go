// What goes on at the edges of a simulated fleet: callers, applications and
// operators, each a few tasks that call, wait a little and call again.

package simulator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/go-faster/jx"

	"github.com/sumactrestle/sumactrestle/internal/api"
	"github.com/sumactrestle/sumactrestle/internal/checker"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/standin"
)

// goTask runs until the load is ended.
func (f *Fleet) goTask(task func(r *rand.Rand)) {
	seed := f.Rand.Uint64()
	f.loadTasks.Add(1)
	go func() {
		defer f.loadTasks.Done()
		r := rand.New(rand.NewPCG(seed, 3))
		for f.loadRunning.Load() {
			task(r)
		}
	}()
}

func pause(r *rand.Rand, mean time.Duration) {
	time.Sleep(mean/2 + time.Duration(r.Int64N(int64(mean))))
}

// clientHost is a machine that is in no zone of the fleet.
func (f *Fleet) clientHost(i int) string { return fmt.Sprintf("10.99.0.%d", i+1) }

// StartClients starts callers for every service and proxy.
func (f *Fleet) StartClients(mean time.Duration) {
	for i, proxyNode := range f.Proxies() {
		for service := range f.Shape.Targets {
			caller := f.newClient(i)
			f.goTask(func(r *rand.Rand) {
				method, body := "POST", []byte(fmt.Sprintf(`{"n":%d}`, r.Uint32()))
				if f.Shape.Idempotent[service] {
					method, body = "GET", nil
				}
				caller.Call(f.ctx, proxyNode.ProxyAddress(), method, "/"+service, service, body)
				pause(r, mean)
			})
		}
	}
}

// StartRetryStorm call for orders and, when one fails, repeat it at once under the
// same key, up to many times.
func (f *Fleet) StartRetryStorm(n int) {
	for range n {
		caller := f.newClient(30)
		caller.AtMostOnce = !f.Shape.AllowsDuplicates && !f.Shape.PlatformMode
		proxies := f.Proxies()
		f.goTask(func(r *rand.Rand) {
			callID, body := ids.NewID(), []byte(`{"storm":1}`)
			for try := range 30 {
				result := caller.CallWithID(f.ctx, proxies[r.IntN(len(proxies))].ProxyAddress(), "POST", "/bookings", "bookings", body, callID, try > 0)
				if result.Outcome == "ran" || result.Code == 1017 || !f.loadRunning.Load() {
					break
				}
				time.Sleep(time.Millisecond)
			}
			pause(r, 100*time.Millisecond)
		})
	}
}

// newChange is the change set that adds one mapping of its own.
func (f *Fleet) newChange(id string, base uint64) *api.Change {
	service := "rates"
	for name := range f.Shape.Targets {
		service = name
	}
	config := api.Config{Mappings: []api.Mapping{{Name: id, Path: "/extra/" + id, To: []api.Split{{Service: service, Weight: 1}}}}}
	return &api.Change{ID: id, Base: base, Put: api.NewOptConfig(config)}
}

// initialConfiguration is what every fleet of the simulator begins with.
func (f *Fleet) initialConfiguration() (config api.Config) {
	for name := range f.Shape.Targets {
		config.Services = append(config.Services, newService(name))
		config.Mappings = append(config.Mappings, api.Mapping{Name: name, Path: "/" + name, To: []api.Split{{Service: name, Weight: 1}}, Repeatable: api.NewOptBool(f.Shape.Idempotent[name]), Once: api.NewOptBool(!f.Shape.AllowsDuplicates && !f.Shape.Idempotent[name]), Deadline: api.NewOptInt64(3000)})
	}
	return config
}

// newOperator returns an operator at a client's host who calls one node.
func (f *Fleet) newOperator(host int, node *Machine) *standin.Operator {
	return standin.NewOperator(f.Network.HostAt(f.clientHost(host)), f.History, node.APIAddress())
}

// operatorsOfEveryNode returns an operator for each node, all at one client's host.
func (f *Fleet) operatorsOfEveryNode(host int) (operators []*standin.Operator) {
	for _, m := range f.Machines {
		operators = append(operators, f.newOperator(host, m))
	}
	return operators
}

func (f *Fleet) submitInitial() bool {
	config := f.initialConfiguration()
	operator := f.newOperator(40, f.Cores()[0])
	_, err := operator.Submit(f.ctx, &api.Change{ID: "first", Whole: api.NewOptBool(true), Put: api.NewOptConfig(config)})
	return err == nil
}

// StartOperators race: each reads the epoch, thinks, and submits against it. What is
// left unknown is asked for by id, once.
func (f *Fleet) StartOperators(n int, mean time.Duration) {
	for i := range n {
		operators := f.operatorsOfEveryNode(41 + i)
		f.goTask(func(r *rand.Rand) {
			pause(r, mean)
			o := operators[r.IntN(len(operators))]
			view, err := o.Epoch(f.ctx)
			if err != nil {
				return
			}
			pause(r, 50*time.Millisecond)
			id := fmt.Sprintf("c%d-%d", i, f.changeCount.Add(1))
			change := f.newChange(id, view.Epoch)
			if r.IntN(6) == 0 {
				change.Put.Value.Mappings[0].To[0].Service = standin.MissingService
			}
			_, err = o.Submit(f.ctx, change)
			if err != nil && r.IntN(2) == 0 {
				pause(r, time.Second)
				o.QueryChange(f.ctx, id)
			}
		})
	}
}

// StartApplications exercise locks, counters, keys and watches through random nodes.
func (f *Fleet) StartApplications(n int, mean time.Duration) {
	clients := []*api.Client{}
	for _, m := range f.Machines {
		clients = append(clients, standin.NewAPIClient(f.Network.HostAt(f.clientHost(60)), m.APIAddress()))
	}
	for i := range n {
		holder := fmt.Sprint("app", i)
		f.goTask(func(r *rand.Rand) {
			pause(r, mean)
			client := clients[r.IntN(len(clients))]
			switch r.IntN(4) {
			case 0:
				f.useLock(r, client, holder)
			case 1:
				f.recordCoordination(checker.Record{Op: "add", Name: fmt.Sprint("count/", r.IntN(3))}, func(ctx context.Context, rec *checker.Record) error {
					receipt, err := client.AddCounter(ctx, &api.Call{Name: rec.Name, ID: api.NewOptString(ids.NewID())})
					if err == nil {
						rec.Count, rec.Revision = receipt.Count.Or(0), receipt.Stamp
					}
					return err
				})
			case 2:
				f.recordCoordination(checker.Record{Op: "put", Name: fmt.Sprint("key", r.IntN(3))}, func(ctx context.Context, rec *checker.Record) error {
					value, _ := json.Marshal(r.Uint32())
					receipt, err := client.PutKey(ctx, &api.Call{Name: rec.Name, Value: jx.Raw(value), ID: api.NewOptString(ids.NewID())})
					if err == nil {
						rec.Revision = receipt.Stamp
					}
					return err
				})
			case 3:
				f.recordCoordination(checker.Record{Op: "get", Name: fmt.Sprint("key", r.IntN(3))}, func(ctx context.Context, rec *checker.Record) error {
					receipt, err := client.GetKey(ctx, api.GetKeyParams{Name: rec.Name})
					if standin.CodeOf(err) == errcode.KeyNotFound.Number {
						return nil
					}
					if err == nil {
						rec.Revision = receipt.Stamp
					}
					return err
				})
			}
		})
	}
	for k := range 3 {
		from := uint64(0)
		f.goTask(func(r *rand.Rand) { f.useWatch(r, clients[r.IntN(len(clients))], fmt.Sprint("key", k), &from) })
		slowFrom := uint64(0)
		f.goTask(func(r *rand.Rand) {
			f.useWatch(r, clients[r.IntN(len(clients))], fmt.Sprint("key", k), &slowFrom)
			pause(r, 5*time.Second)
		})
	}
}

// recordCoordination records one coordination call.
func (f *Fleet) recordCoordination(r checker.Record, call func(ctx context.Context, r *checker.Record) error) error {
	r.Kind, r.Start = checker.CoordinationCall, f.History.Now()
	ctx, cancel := context.WithTimeout(f.ctx, 4*time.Second)
	defer cancel()
	err := call(ctx, &r)
	r.Outcome, r.Code = "done", standin.CodeOf(err)
	if err != nil {
		r.Outcome, r.Note = "refused", err.Error()
		var p *api.ProblemStatusCodeWithHeaders
		if !errors.As(err, &p) || p.Response.Outcome.Or("") == "unknown" {
			r.Outcome = "unknown"
		}
	}
	f.History.Add(r)
	return err
}

// useLock takes a lock, holds it a while, perhaps renews it, gives it back or
// lets it run out.
func (f *Fleet) useLock(r *rand.Rand, client *api.Client, holder string) {
	name := fmt.Sprint("lock/", r.IntN(2))
	const ttl = 2 * time.Second
	var fence uint64
	session := holder + "-" + ids.NewID()
	err := f.recordCoordination(checker.Record{Op: "acquire", Name: name, Holder: session, TTL: ttl}, func(ctx context.Context, rec *checker.Record) error {
		receipt, err := client.Lock(ctx, &api.Call{Name: name, Holder: api.NewOptString(session), TTL: api.NewOptInt64(ttl.Milliseconds()), ID: api.NewOptString(ids.NewID())}, api.LockParams{Verb: api.LockVerbAcquire})
		if err == nil {
			fence = receipt.Fence.Or(0)
			rec.FencingToken = fence
		}
		return err
	})
	if err != nil {
		return
	}
	for range r.IntN(4) {
		time.Sleep(time.Duration(r.Int64N(int64(ttl))))
		err := f.recordCoordination(checker.Record{Op: "renew", Name: name, Holder: session, FencingToken: fence, TTL: ttl}, func(ctx context.Context, rec *checker.Record) error {
			_, err := client.Lock(ctx, &api.Call{Name: name, Holder: api.NewOptString(session), Fence: api.NewOptUint64(fence)}, api.LockParams{Verb: api.LockVerbRenew})
			return err
		})
		if err != nil {
			return
		}
	}
	if r.IntN(3) > 0 {
		f.recordCoordination(checker.Record{Op: "release", Name: name, Holder: session, FencingToken: fence}, func(ctx context.Context, rec *checker.Record) error {
			_, err := client.Lock(ctx, &api.Call{Name: name, Holder: api.NewOptString(session), Fence: api.NewOptUint64(fence), ID: api.NewOptString(ids.NewID())}, api.LockParams{Verb: api.LockVerbRelease})
			return err
		})
	}
}

// useWatch goes on with a watch from where the last one ended.
func (f *Fleet) useWatch(r *rand.Rand, client *api.Client, name string, from *uint64) {
	ctx, cancel := context.WithTimeout(f.ctx, 6*time.Second)
	defer cancel()
	rec := checker.Record{Kind: checker.WatchResponse, Start: f.History.Now(), Name: name, From: *from}
	receipt, err := client.Watch(ctx, api.WatchParams{Name: name, From: *from, Hold: api.NewOptInt64(2000)})
	switch {
	case err == nil:
		rec.Outcome, rec.Revision = "done", receipt.Stamp
		for _, e := range receipt.Events {
			rec.Revisions = append(rec.Revisions, e.Stamp)
		}
		if *from > 0 {
			f.History.Add(rec)
		}
		*from = receipt.Stamp
	case standin.CodeOf(err) == errcode.RevisionCompacted.Number:
		rec.Outcome = "too old"
		f.History.Add(rec)
		*from = 0
	default:
		pause(r, 200*time.Millisecond)
	}
}
