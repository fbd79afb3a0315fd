// Further coordination calls of applications: compare-and-set, deletes, lists, elections, watches
// of a key prefix, and retries of calls with an unknown outcome under the same ID.

package simulator

import (
	"context"
	"encoding/json"
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

// watchedSpace is the prefix of the keys that are listed and watched together.
const watchedSpace = "space/"

// retryUnknown makes a call under a new ID and repeats it up to three times while its outcome is
// unknown, and sometimes after it was done. Each attempt is recorded with the ID.
func (f *Fleet) retryUnknown(r *rand.Rand, clients []*api.Client, rec checker.Record, call func(ctx context.Context, client *api.Client, id string, rec *checker.Record) error) (done bool) {
	rec.RequestID = ids.NewID()
	for range 4 {
		client, outcome := clients[r.IntN(len(clients))], ""
		f.recordCoordination(rec, func(ctx context.Context, attempt *checker.Record) error {
			err := call(ctx, client, rec.RequestID, attempt)
			outcome = outcomeOf(err)
			return err
		})
		if outcome == "refused" || outcome == "done" && r.IntN(8) > 0 {
			return outcome == "done"
		}
		pause(r, 300*time.Millisecond)
	}
	return false
}

// recordResponse copies the revision and count of a successful response to its record. It returns
// err.
func recordResponse(rec *checker.Record, receipt *api.Receipt, err error) error {
	if err == nil {
		rec.Revision, rec.Count = receipt.Stamp, receipt.Count.Or(0)
	}
	return err
}

// StartCoordinationClients starts n applications and a watcher of watchedSpace.
func (f *Fleet) StartCoordinationClients(n int, mean time.Duration) {
	var clients []*api.Client
	for _, m := range f.Machines {
		clients = append(clients, standin.NewAPIClient(f.Network.HostAt(f.clientHost(61)), m.APIAddress()))
	}
	for i := range n {
		f.goTask(func(r *rand.Rand) {
			pause(r, mean)
			key := fmt.Sprint(watchedSpace, "k", r.IntN(4))
			client := clients[r.IntN(len(clients))]
			switch r.IntN(6) {
			case 0:
				f.retryUnknown(r, clients, checker.Record{Op: "add", Name: "total/" + fmt.Sprint(r.IntN(2))}, func(ctx context.Context, client *api.Client, id string, rec *checker.Record) error {
					receipt, err := client.AddCounter(ctx, &api.Call{Name: rec.Name, ID: api.NewOptString(id)})
					return recordResponse(rec, receipt, err)
				})
			case 1, 2:
				f.compareAndSet(r, clients, key)
			case 3:
				f.retryUnknown(r, clients, checker.Record{Op: "drop", Name: key}, func(ctx context.Context, client *api.Client, id string, rec *checker.Record) error {
					receipt, err := client.DropKey(ctx, &api.Call{Name: rec.Name, ID: api.NewOptString(id)})
					return recordResponse(rec, receipt, err)
				})
			case 4:
				f.recordCoordination(checker.Record{Op: "list", Name: watchedSpace}, func(ctx context.Context, rec *checker.Record) error {
					receipt, err := client.ListKeys(ctx, api.ListKeysParams{Prefix: watchedSpace})
					if err == nil {
						rec.Revision = receipt.Stamp
						for _, k := range receipt.Keys {
							rec.Names, rec.Revisions = append(rec.Names, k.Name), append(rec.Revisions, k.Stamp)
						}
					}
					return err
				})
			case 5:
				f.campaign(r, clients, fmt.Sprint("candidate", i))
			}
		})
	}
	from := uint64(0)
	f.goTask(func(r *rand.Rand) { f.useWatch(r, clients[r.IntN(len(clients))], watchedSpace, &from) })
}

// compareAndSet reads a key and writes a new value on the condition that the key has not changed.
func (f *Fleet) compareAndSet(r *rand.Rand, clients []*api.Client, key string) {
	revision, isRead := uint64(0), false
	f.recordCoordination(checker.Record{Op: "get", Name: key}, func(ctx context.Context, rec *checker.Record) error {
		receipt, err := clients[r.IntN(len(clients))].GetKey(ctx, api.GetKeyParams{Name: key})
		if standin.CodeOf(err) == errcode.KeyNotFound.Number {
			isRead = true
			return nil
		}
		if err == nil {
			revision, isRead = receipt.Stamp, true
			rec.Revision, rec.Digest = receipt.Stamp, string(receipt.Value)
		}
		return err
	})
	if !isRead {
		return
	}
	value, _ := json.Marshal(r.Uint32())
	f.retryUnknown(r, clients, checker.Record{Op: "put", Name: key, IsConditional: true, From: revision, Digest: string(value)}, func(ctx context.Context, client *api.Client, id string, rec *checker.Record) error {
		receipt, err := client.PutKey(ctx, &api.Call{Name: key, Value: jx.Raw(value), If: api.NewOptUint64(revision), ID: api.NewOptString(id)})
		return recordResponse(rec, receipt, err)
	})
}

// campaign reads the current leader of an election, campaigns, and may resign later.
func (f *Fleet) campaign(r *rand.Rand, clients []*api.Client, candidate string) {
	const ttl = 2 * time.Second
	session := candidate + "-" + ids.NewID()
	fence := uint64(0)
	client := clients[r.IntN(len(clients))]
	f.recordCoordination(checker.Record{Op: "leader", Name: "head"}, func(ctx context.Context, rec *checker.Record) error {
		receipt, err := client.GetLeader(ctx, api.GetLeaderParams{Name: "head"})
		if standin.CodeOf(err) == errcode.KeyNotFound.Number {
			return nil
		}
		if err == nil {
			rec.FencingToken, rec.Holder = receipt.Fence.Or(0), receipt.Holder.Or("")
		}
		return err
	})
	err := f.recordCoordination(checker.Record{Op: "acquire", Name: "head", Holder: session, TTL: ttl}, func(ctx context.Context, rec *checker.Record) error {
		receipt, err := client.Elect(ctx, &api.Call{Name: "head", Holder: api.NewOptString(session), TTL: api.NewOptInt64(ttl.Milliseconds()), Value: jx.Raw(`"here"`), ID: api.NewOptString(ids.NewID())}, api.ElectParams{Verb: api.ElectVerbCampaign})
		if err == nil {
			fence = receipt.Fence.Or(0)
			rec.FencingToken = fence
		}
		return err
	})
	if err != nil {
		return
	}
	time.Sleep(time.Duration(r.Int64N(int64(ttl))))
	if r.IntN(2) == 0 {
		f.recordCoordination(checker.Record{Op: "release", Name: "head", Holder: session, FencingToken: fence}, func(ctx context.Context, rec *checker.Record) error {
			_, err := client.Elect(ctx, &api.Call{Name: "head", Holder: api.NewOptString(session), Fence: api.NewOptUint64(fence), ID: api.NewOptString(ids.NewID())}, api.ElectParams{Verb: api.ElectVerbResign})
			return err
		})
	}
}

// readCounters records the final values of the counters, after the load has ended.
func (f *Fleet) readCounters() {
	client := standin.NewAPIClient(f.Network.HostAt(f.clientHost(92)), f.Cores()[0].APIAddress())
	for i := range 2 {
		f.WaitUntil(10*time.Second, func() bool {
			return f.recordCoordination(checker.Record{Op: "total", Name: fmt.Sprint("total/", i)}, func(ctx context.Context, rec *checker.Record) error {
				receipt, err := client.GetCounter(ctx, api.GetCounterParams{Name: rec.Name})
				return recordResponse(rec, receipt, err)
			}) == nil
		})
	}
}

// outcomeOf returns "done" if err is nil. Otherwise it returns the outcome of the error's code, or
// "refused" if the code has no outcome, or "unknown" if the error has no code.
func outcomeOf(err error) string {
	if err == nil {
		return "done"
	}
	if code := standin.CodeOf(err); code > 0 && errcode.Codes[code].Outcome == "" {
		return "refused"
	} else if code > 0 {
		return errcode.Codes[code].Outcome
	}
	return "unknown"
}
