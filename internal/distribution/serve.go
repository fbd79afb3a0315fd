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
	env       *environment.Environment
	transport *rpc.Transport
	members   *membership.Memberlist
	consensus *consensus.Node
	state     *controlplane.ConfigState
	planner   *controlplane.Planner

	mu         sync.Mutex
	deltas     map[string]rpc.Group
	compressed map[string][]byte

	limiter fetchLimiter
	encoder groupEncoder
	relay   pulseRelay
}

func NewServer(r *environment.Environment, w *rpc.Transport, k *membership.Memberlist, p *consensus.Node, ledger *controlplane.ConfigState, planner *controlplane.Planner) *Server {
	s := &Server{env: r, transport: w, members: k, consensus: p, state: ledger, planner: planner}
	s.relay.env, s.relay.askLeader = r, s.askLeader
	w.Handle("flow.listen", func(c *rpc.Request) (any, error) {
		var request rpc.ListenRequest
		if err := c.Decode(&request); err != nil {
			return nil, err
		}
		return s.listen(c, &request)
	})
	w.Handle("flow.fetch", func(c *rpc.Request) (any, error) {
		var request rpc.FetchRequest
		if err := c.Decode(&request); err != nil {
			return nil, err
		}
		return s.fetch(c, &request)
	})
	w.Handle("flow.pulse", func(c *rpc.Request) (any, error) { return s.pulse(c) })
	return s
}

// listen holds the request until a group differs from what the asker has, in
// an epoch newer than the asker's, or the hold time is over.
func (s *Server) listen(ctx context.Context, request *rpc.ListenRequest) (*rpc.ListenResponse, error) {
	hold := time.NewTimer(s.env.Config.FlowHold)
	defer hold.Stop()
	have := request.Versions
	if request.CombinedDigest != "" {
		before := s.state.AtEpoch(request.Epoch)
		if before == nil || before.ManifestDigest() != request.CombinedDigest {
			return &rpc.ListenResponse{Epoch: request.Epoch, UnknownDigest: true}, nil
		}
		have = before.Manifest()
	}
	for {
		change := s.consensus.Replica(ids.ConfigShard).Changed()
		state := s.state.Current()
		if state.Epoch > request.Epoch {
			if err := s.checkLeaderContact(); err != nil {
				return nil, err
			}
			response := changesSince(state, have)
			response.Age = state.Age().Milliseconds()
			if request.AcceptsDeltas {
				s.inlineGroups(state, have, response)
			}
			return response, nil
		}
		select {
		case <-change:
		case <-hold.C:
			return &rpc.ListenResponse{Epoch: state.Epoch}, nil
		case <-ctx.Done():
			return &rpc.ListenResponse{Epoch: state.Epoch}, nil
		case <-s.env.Done():
			return nil, errcode.New(errcode.Stopping, "")
		}
	}
}

// checkLeaderContact refuses to give out what may be old: the asker takes another node.
func (s *Server) checkLeaderContact() error {
	if s.consensus.HasQuorumContact(ids.ConfigShard) {
		return nil
	}
	return errcode.New(errcode.NoOwner, "no word of a majority of the configuration part")
}

// inlineGroups sends differences with the receipt if all of them are small.
func (s *Server) inlineGroups(state *controlplane.EpochState, have map[string]rpc.GroupVersion, response *rpc.ListenResponse) {
	groups := map[string]rpc.Group{}
	size := 0
	for name := range response.Changed {
		group, ok := state.PublishedGroup(name)
		if !ok {
			return
		}
		group = s.shorten(name, have[name].Digest, group)
		size += len(group.Data) + targetSizeEstimate*len(group.PutTargets) + instanceSizeEstimate*len(group.RemovedTargets)
		if size > maxInlineSize {
			return
		}
		groups[name] = group
	}
	response.Deltas = groups
}

// What comes along with a receipt, in bytes at most, and what a target and an
// instance are reckoned at.
const (
	maxInlineSize        = 4096
	targetSizeEstimate   = 120
	instanceSizeEstimate = 24
)

func changesSince(state *controlplane.EpochState, before map[string]rpc.GroupVersion) *rpc.ListenResponse {
	response := &rpc.ListenResponse{Epoch: state.Epoch, Changed: map[string]rpc.GroupVersion{}}
	manifest := state.Manifest()
	for name, held := range manifest {
		if have, ok := before[name]; !ok || have != held {
			response.Changed[name] = held
		}
	}
	for name := range before {
		if _, ok := manifest[name]; !ok {
			response.Removed = append(response.Removed, name)
		}
	}
	return response
}

// shorten is a target list as what differs from the one that the asker holds, if that
// is known here and the difference is right.
func (s *Server) shorten(name, held string, group rpc.Group) rpc.Group {
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
	if shorter, ok := s.state.Delta(name, held, group); ok {
		delta = shorter
	}
	s.mu.Lock()
	if len(s.deltas) >= maxDeltasKept || s.deltas == nil {
		s.deltas = map[string]rpc.Group{}
	}
	s.deltas[key] = delta
	s.mu.Unlock()
	return delta
}

// maxDeltasKept bounds the differences that are kept for the next asker.
const maxDeltasKept = 256

// pulse tells ages as the owner of the configuration part knows them, older by
// the time that passed since this node asked.
func (s *Server) pulse(ctx context.Context) (*rpc.FreshnessResponse, error) {
	if s.consensus.Replica(ids.ConfigShard).IsServing() {
		return s.planner.Freshness()
	}
	return s.relay.get(ctx)
}

func (s *Server) askLeader() (*rpc.FreshnessResponse, error) {
	name, ok := s.consensus.Leader(ids.ConfigShard)
	if !ok || name == s.env.Name {
		return nil, errcode.New(errcode.NoOwner, "configuration part")
	}
	m, ok := s.members.Lookup(name)
	if !ok {
		return nil, errcode.New(errcode.NoOwner, "configuration part: %s is down", name)
	}
	ctx, end := context.WithTimeout(s.env, 500*time.Millisecond)
	defer end()
	var response rpc.FreshnessResponse
	if err := s.transport.Forward(ctx, m.RPCAddress, "flow.owner", 1, &rpc.FreshnessRequest{}, &response); err != nil {
		return nil, err
	}
	return &response, nil
}

// HandleOwner answers other control nodes, at the owner only.
func (s *Server) HandleOwner() {
	s.transport.Handle("flow.owner", func(c *rpc.Request) (any, error) { return s.planner.Freshness() })
}
