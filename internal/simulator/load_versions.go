// Operators that number their changes. Each change names the version it is based on. The operators
// compete, retry submissions with an unknown outcome, and read back the configuration.

package simulator

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/checker"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/node"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
	"github.com/sumactrestle/sumactrestle/internal/standin"
)

const numberedPrefix = "numbered-"

// StartVersionedOperators starts n operators that submit numbered changes.
func (f *Fleet) StartVersionedOperators(n int, mean time.Duration) {
	for range n {
		f.goTask(func(r *rand.Rand) {
			pause(r, mean)
			node := f.anyNode(r)
			if node == nil {
				return
			}
			view := f.readConfiguration(node)
			if view == nil {
				return
			}
			pause(r, 50*time.Millisecond)
			change := numberedChange(r, view.Version)
			if rival, other := numberedChange(r, view.Version), f.anyNode(r); other != nil && r.IntN(2) == 0 {
				var racing sync.WaitGroup
				racing.Go(func() { f.submitVersion(other, rival) })
				defer racing.Wait()
			}
			for range 3 {
				outcome := f.submitVersion(node, change)
				if outcome == "refused" || outcome == "accepted" && r.IntN(4) > 0 {
					break
				}
				pause(r, 500*time.Millisecond)
				if node = f.anyNode(r); node == nil {
					return
				}
			}
			if node = f.anyNode(r); node != nil {
				f.readConfiguration(node)
			}
		})
	}
}

// numberedChange returns a change based on a version, with a unique source text.
func numberedChange(r *rand.Rand, base ids.Version) *rpc.ChangeSet {
	id, service := numberedPrefix+ids.NewID(), "rates"
	if r.IntN(6) == 0 {
		service = standin.MissingService
	}
	source, _ := json.Marshal(map[string]string{"as": "sent", "id": id})
	route := rpc.Route{Name: id, Path: "/numbered/" + id, Services: []rpc.WeightedService{{Service: service, Weight: 1}}, Source: source}
	return &rpc.ChangeSet{ID: id, Version: base + 1 + ids.Version(r.IntN(2)), ExpectedVersion: &base, Put: rpc.Configuration{Routes: []rpc.Route{route}}}
}

func (f *Fleet) submitVersion(node *node.Node, change *rpc.ChangeSet) string {
	return f.submitWithin(8*time.Second, node, change)
}

// submitWithin submits a change with a time limit, and records and returns its outcome. A change
// that timed out may have been applied or may be applied later.
func (f *Fleet) submitWithin(limit time.Duration, node *node.Node, change *rpc.ChangeSet) string {
	rec := checker.Record{Kind: checker.VersionedChange, Start: f.History.Now(), Name: change.ID, Revision: uint64(change.Version), From: uint64(*change.ExpectedVersion), Digest: string(change.Put.Routes[0].Source), Outcome: "accepted", Invalid: change.Put.Routes[0].Services[0].Service == standin.MissingService}
	ctx, cancel := context.WithTimeout(f.ctx, limit)
	defer cancel()
	receipt, err := node.Submit(ctx, change)
	switch {
	case err == nil:
		rec.Epoch = uint64(receipt.Epoch)
	case errcode.From(err).Code.Outcome == "":
		rec.Outcome, rec.Code = "refused", errcode.From(err).Code.Number
	default:
		rec.Outcome, rec.Code, rec.Note = "unknown", errcode.From(err).Code.Number, err.Error()
	}
	f.History.Add(rec)
	return rec.Outcome
}

// readConfiguration records the source texts of the numbered changes in effect. It returns nil if
// the configuration cannot be read.
func (f *Fleet) readConfiguration(node *node.Node) *rpc.ConfigurationView {
	rec := checker.Record{Kind: checker.ConfigurationRead, Start: f.History.Now(), Destinations: map[string]string{}}
	ctx, cancel := context.WithTimeout(f.ctx, 4*time.Second)
	defer cancel()
	view, err := node.Config(ctx)
	if err != nil {
		return nil
	}
	rec.Revision, rec.Epoch = uint64(view.Version), uint64(view.Epoch)
	for _, m := range view.Configuration.Routes {
		if strings.HasPrefix(m.Name, numberedPrefix) {
			rec.Destinations[m.Name] = string(m.Source)
		}
	}
	f.History.Add(rec)
	return view
}

// readFinalConfiguration records the configuration after the load has ended.
func (f *Fleet) readFinalConfiguration() error {
	wasRead := f.WaitUntil(10*time.Second, func() bool {
		node := f.Cores()[0].Node()
		return node != nil && f.readConfiguration(node) != nil
	})
	if !wasRead {
		return fmt.Errorf("the final configuration could not be read within 10 s")
	}
	return nil
}
