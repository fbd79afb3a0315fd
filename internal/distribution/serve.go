// Package distribution is the paper's distribution: a full fetch at start, a held
// listener request that carries each group's digest and version, a fetch of
// only the groups reported changed, replacement only by newer, and then word to
// the subscribers. This file is the control node's half; it serves what its
// member of the configuration part has folded.
package distribution

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/consensus"
	"github.com/sumactrestle/sumactrestle/internal/controlplane"
	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/membership"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// Server is one control node's.
type Server struct {
	r       *environment.Environment
	w       *rpc.Wire
	k       *membership.Memberlist
	p       *consensus.Node
	ledger  *controlplane.ConfigState
	planner *controlplane.Planner

	mu     sync.Mutex
	deltas map[string]rpc.Group
	packs  map[string][]byte

	turns  turns
	coder  coder
	relays relays
}

func NewServer(r *environment.Environment, w *rpc.Wire, k *membership.Memberlist, p *consensus.Node, ledger *controlplane.ConfigState, planner *controlplane.Planner) *Server {
	s := &Server{r: r, w: w, k: k, p: p, ledger: ledger, planner: planner}
	s.relays.r, s.relays.ask = r, s.ask
	w.Handle("flow.listen", func(c *rpc.Call) (any, error) {
		var ask rpc.ListenRequest
		if err := c.Read(&ask); err != nil {
			return nil, err
		}
		return s.listen(c, &ask)
	})
	w.Handle("flow.fetch", func(c *rpc.Call) (any, error) {
		var ask rpc.FetchRequest
		if err := c.Read(&ask); err != nil {
			return nil, err
		}
		return s.fetch(c, &ask)
	})
	w.Handle("flow.pulse", func(c *rpc.Call) (any, error) { return s.pulse(c) })
	return s
}

// listen holds the request until a group differs from what the asker has, in
// an epoch newer than the asker's, or the hold time is over.
func (s *Server) listen(ctx context.Context, ask *rpc.ListenRequest) (*rpc.ListenResponse, error) {
	hold := time.NewTimer(s.r.Config.FlowHold)
	defer hold.Stop()
	have := ask.Versions
	if ask.CombinedDigest != "" {
		before := s.ledger.AtEpoch(ask.Epoch)
		if before == nil || before.ManifestDigest() != ask.CombinedDigest {
			return &rpc.ListenResponse{Epoch: ask.Epoch, UnknownDigest: true}, nil
		}
		have = before.Manifest()
	}
	for {
		change := s.p.Replica(ids.ConfigShard).Changed()
		sheet := s.ledger.Current()
		if sheet.Epoch > ask.Epoch {
			if err := s.checkContact(); err != nil {
				return nil, err
			}
			receipt := differ(sheet, have)
			receipt.Age = sheet.Age().Milliseconds()
			if ask.AcceptsDeltas {
				s.along(sheet, have, receipt)
			}
			return receipt, nil
		}
		select {
		case <-change:
		case <-hold.C:
			return &rpc.ListenResponse{Epoch: sheet.Epoch}, nil
		case <-ctx.Done():
			return &rpc.ListenResponse{Epoch: sheet.Epoch}, nil
		case <-s.r.Done():
			return nil, errcode.New(errcode.Stopping, "")
		}
	}
}

// checkContact refuses to give out what may be old: the asker takes another node.
func (s *Server) checkContact() error {
	if s.p.HasQuorumContact(ids.ConfigShard) {
		return nil
	}
	return errcode.New(errcode.NoOwner, "no word of a majority of the configuration part")
}

// along sends differences with the receipt if all of them are small.
func (s *Server) along(sheet *controlplane.EpochState, have map[string]rpc.GroupVersion, receipt *rpc.ListenResponse) {
	groups := map[string]rpc.Group{}
	size := 0
	for name := range receipt.Changed {
		group, ok := sheet.PublishedGroup(name)
		if !ok {
			return
		}
		group = s.short(name, have[name].Digest, group)
		size += len(group.Data) + targetSize*len(group.PutTargets) + instanceSize*len(group.RemovedTargets)
		if size > alongMost {
			return
		}
		groups[name] = group
	}
	receipt.Deltas = groups
}

// What comes along with a receipt, in bytes at most, and what a target and an
// instance are reckoned at.
const (
	alongMost    = 4096
	targetSize   = 120
	instanceSize = 24
)

func differ(sheet *controlplane.EpochState, before map[string]rpc.GroupVersion) *rpc.ListenResponse {
	receipt := &rpc.ListenResponse{Epoch: sheet.Epoch, Changed: map[string]rpc.GroupVersion{}}
	manifest := sheet.Manifest()
	for name, held := range manifest {
		if have, ok := before[name]; !ok || have != held {
			receipt.Changed[name] = held
		}
	}
	for name := range before {
		if _, ok := manifest[name]; !ok {
			receipt.Removed = append(receipt.Removed, name)
		}
	}
	return receipt
}

// short is a target list as what differs from the one that the asker holds, if that
// is known here and the difference is right.
func (s *Server) short(name, held string, group rpc.Group) rpc.Group {
	if held == "" || !strings.HasPrefix(name, controlplane.TargetsPrefix) {
		return group
	}
	key := name + " " + held + " " + group.Digest
	s.mu.Lock()
	delta, ok := s.deltas[key]
	s.mu.Unlock()
	if ok {
		// The same step may have been made before, when it bore another version.
		delta.Index = group.Index
		return delta
	}
	delta = group
	if from, isKept := s.ledger.GroupData(name, held); isKept {
		if put, gone, isShorter := controlplane.DiffTargets(from, group.Data); isShorter {
			if whole, err := controlplane.PatchTargets(from, put, gone); err == nil && controlplane.Digest(whole) == group.Digest {
				delta = rpc.Group{Digest: group.Digest, Index: group.Index, BaseDigest: held, PutTargets: put, RemovedTargets: gone}
			}
		}
	}
	s.mu.Lock()
	if len(s.deltas) >= deltasKept || s.deltas == nil {
		s.deltas = map[string]rpc.Group{}
	}
	s.deltas[key] = delta
	s.mu.Unlock()
	return delta
}

// deltasKept bounds the differences that are kept for the next asker.
const deltasKept = 256

// pulse tells ages as the owner of the configuration part knows them, older by
// the time that passed since this node asked.
func (s *Server) pulse(ctx context.Context) (*rpc.FreshnessResponse, error) {
	if s.p.Replica(ids.ConfigShard).IsServing() {
		return s.planner.Freshness()
	}
	return s.relays.get(ctx)
}

func (s *Server) ask() (*rpc.FreshnessResponse, error) {
	name, ok := s.p.Leader(ids.ConfigShard)
	if !ok || name == s.r.Name {
		return nil, errcode.New(errcode.NoOwner, "configuration part")
	}
	m, ok := s.k.Lookup(name)
	if !ok {
		return nil, errcode.New(errcode.NoOwner, "configuration part: %s is down", name)
	}
	ctx, end := context.WithTimeout(s.r, 500*time.Millisecond)
	defer end()
	var receipt rpc.FreshnessResponse
	if err := s.w.AskHop(ctx, m.RPCAddress, "flow.owner", 1, &rpc.FreshnessRequest{}, &receipt); err != nil {
		return nil, err
	}
	return &receipt, nil
}

// HandleOwner answers other control nodes, at the owner only.
func (s *Server) HandleOwner() {
	s.w.Handle("flow.owner", func(c *rpc.Call) (any, error) { return s.planner.Freshness() })
}
