// Basic load on a simulated fleet: clients, operators, and applications that use the coordination
// API. Each runs as a few tasks that send a request, wait and repeat.

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

// goTask runs a task repeatedly in a goroutine until the load is stopped.
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

// pause sleeps for a random time around mean, between half of it and one and a half.
func pause(r *rand.Rand, mean time.Duration) {
	time.Sleep(mean/2 + time.Duration(r.Int64N(int64(mean))))
}

// clientHost returns the IP address of a machine that is in no zone of the fleet.
func (f *Fleet) clientHost(i int) string { return fmt.Sprintf("10.99.0.%d", i+1) }

// StartClients starts one client for each pair of proxy and service.
func (f *Fleet) StartClients(mean time.Duration) {
	for i, proxyNode := range f.Proxies() {
		for service := range f.Shape.Targets {
			client := f.newClient(i)
			f.goTask(func(r *rand.Rand) {
				method, body := "POST", []byte(fmt.Sprintf(`{"n":%d}`, r.Uint32()))
				if f.Shape.Idempotent[service] {
					method, body = "GET", nil
				}
				client.Call(f.ctx, proxyNode.ProxyAddress(), method, "/"+service, service, body)
				pause(r, mean)
			})
		}
	}
}

// StartRetryStorm starts n clients that send bookings. A failed booking is repeated at once under
// the same call ID, up to 30 attempts in total.
func (f *Fleet) StartRetryStorm(n int) {
	for range n {
		client := f.newClient(30)
		client.AtMostOnce = !f.Shape.AllowsDuplicates && !f.Shape.PlatformMode
		proxies := f.Proxies()
		f.goTask(func(r *rand.Rand) {
			callID, body := ids.NewID(), []byte(`{"storm":1}`)
			for try := range 30 {
				result := client.CallWithID(f.ctx, proxies[r.IntN(len(proxies))].ProxyAddress(), "POST", "/bookings", "bookings", body, callID, try > 0)
				if result.Outcome == "ran" || result.Code == 1017 || !f.loadRunning.Load() {
					break
				}
				time.Sleep(time.Millisecond)
			}
			pause(r, 100*time.Millisecond)
		})
	}
}

// newChange returns a change set that adds one mapping, named after the change set's ID.
func (f *Fleet) newChange(id string, base uint64) *api.Change {
	service := "rates"
	for name := range f.Shape.Targets {
		service = name
	}
	config := api.Config{Mappings: []api.Mapping{{Name: id, Path: "/extra/" + id, To: []api.Split{{Service: service, Weight: 1}}}}}
	return &api.Change{ID: id, Base: base, Put: api.NewOptConfig(config)}
}

// initialConfiguration returns the configuration with which every simulated fleet begins: one
// mapping for each service.
func (f *Fleet) initialConfiguration() (config api.Config) {
	for name := range f.Shape.Targets {
		config.Services = append(config.Services, newService(name))
		config.Mappings = append(config.Mappings, api.Mapping{Name: name, Path: "/" + name, To: []api.Split{{Service: name, Weight: 1}}, Repeatable: api.NewOptBool(f.Shape.Idempotent[name]), Once: api.NewOptBool(!f.Shape.AllowsDuplicates && !f.Shape.Idempotent[name]), Deadline: api.NewOptInt64(3000)})
	}
	return config
}

// newOperator returns an operator on a client host that calls one node.
func (f *Fleet) newOperator(host int, node *Machine) *standin.Operator {
	return standin.NewOperator(f.Network.HostAt(f.clientHost(host)), f.History, node.APIAddress())
}

// operatorsOfEveryNode returns one operator for each node, all on one client host.
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

// StartOperators starts n competing operators. Each reads the epoch, pauses, and submits a change
// based on it. After an error it may query the change once by its ID.
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

// StartApplications starts n applications that use locks, counters and keys through random nodes,
// and two watchers for each of three keys, of which one polls slowly.
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

// recordCoordination makes a coordination call with a time limit of 4 s and records it with its
// outcome.
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

// useLock acquires a lock, may renew it several times, and then releases it or lets it expire.
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

// useWatch continues a watch from the revision at which the previous call ended.
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
