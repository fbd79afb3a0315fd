package distribution

import (
	"context"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/consensus"
	"github.com/sumactrestle/sumactrestle/internal/controlplane"
	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/membership"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// leaderPulseTimeout bounds the pulse that a control node sends to the leader.
const leaderPulseTimeout = 500 * time.Millisecond

// ServerConfig is what a Server needs.
type ServerConfig struct {
	Environment *environment.Environment
	Transport   *rpc.Transport
	Members     *membership.Memberlist
	Consensus   *consensus.Node
	State       *controlplane.ConfigState
	Planner     *controlplane.Planner
}

// Server is the control node's side: it answers listeners, fetches and pulses from what this
// node's replica of the configuration shard has applied. The paper has one admin server; here
// each replica serves.
type Server struct {
	env       *environment.Environment
	transport *rpc.Transport
	members   *membership.Memberlist
	consensus *consensus.Node
	state     *controlplane.ConfigState
	planner   *controlplane.Planner

	deltas     *deltaEncoder
	compressor *compressor
	encoder    *groupEncoder
	fullFetch  *fullFetchHandler
	relay      *pulseRelay
}

// NewServer returns a server and registers its handlers, so it must be called before the
// transport's Start.
func NewServer(config ServerConfig) *Server {
	s := &Server{
		env:        config.Environment,
		transport:  config.Transport,
		members:    config.Members,
		consensus:  config.Consensus,
		state:      config.State,
		planner:    config.Planner,
		deltas:     newDeltaEncoder(config.State),
		compressor: newCompressor(),
		encoder:    &groupEncoder{},
	}
	s.fullFetch = newFullFetchHandler(s.encoder, s.env.Config.DistributionMaxConcurrentFetches, s.env.Config.DistributionRetryCooldown)
	s.relay = newPulseRelay(s.env, s.pulseLeader)
	rpc.Handle(s.transport, kindListen, s.listen)
	rpc.Handle(s.transport, kindFetch, s.fetch)
	s.transport.Handle(kindPulse, func(request *rpc.Request) (any, error) { return s.pulse(request) })
	s.transport.Handle(kindLeaderPulse, func(*rpc.Request) (any, error) { return s.planner.Freshness() })
	return s
}

// checkQuorumContact refuses to give out what may be old; the proxy takes another node.
func (s *Server) checkQuorumContact() error {
	if s.consensus.HasQuorumContact(ids.ConfigShard) {
		return nil
	}
	return errcode.New(errcode.NoLeader, "no contact with a majority of the configuration shard")
}

// listen holds a listener request (the paper's doLongPolling on the server) until there is an
// epoch greater than the listener's, and then answers with what changed; or until the hold
// time, the setting distribution.long_poll_timeout, is over.
func (s *Server) listen(ctx context.Context, request *rpc.ListenRequest) (*rpc.ListenResponse, error) {
	hold := time.NewTimer(s.env.Config.DistributionLongPollTimeout)
	defer hold.Stop()
	held := request.Versions
	if request.CombinedDigest != "" {
		epoch := s.state.AtEpoch(request.Epoch)
		if epoch == nil || epoch.ManifestDigest() != request.CombinedDigest {
			return &rpc.ListenResponse{Epoch: request.Epoch, UnknownDigest: true}, nil
		}
		held = epoch.Manifest()
	}
	for {
		changed := s.consensus.Replica(ids.ConfigShard).Changed()
		epoch := s.state.Current()
		if epoch.Epoch > request.Epoch {
			if err := s.checkQuorumContact(); err != nil {
				return nil, err
			}
			response := changesSince(epoch, held)
			response.Age = epoch.Age().Milliseconds()
			if request.AcceptsDeltas {
				response.Deltas = s.deltas.inline(epoch, held, response.Changed)
			}
			return response, nil
		}
		select {
		case <-changed:
		case <-hold.C:
			return &rpc.ListenResponse{Epoch: epoch.Epoch}, nil
		case <-ctx.Done():
			return &rpc.ListenResponse{Epoch: epoch.Epoch}, nil
		case <-s.env.Done():
			return nil, errcode.New(errcode.Stopping, "")
		}
	}
}

// changesSince answers a listener with how an epoch differs from the groups that it holds.
func changesSince(epoch *controlplane.EpochState, held map[string]rpc.GroupVersion) *rpc.ListenResponse {
	response := &rpc.ListenResponse{Epoch: epoch.Epoch, Changed: map[string]rpc.GroupVersion{}}
	manifest := epoch.Manifest()
	for name, version := range manifest {
		if heldVersion, ok := held[name]; !ok || heldVersion != version {
			response.Changed[name] = version
		}
	}
	for name := range held {
		if _, ok := manifest[name]; !ok {
			response.Removed = append(response.Removed, name)
		}
	}
	return response
}

// fetch answers a fetch (the paper's fetchGroupConfig on the server): of the groups named, or
// of all if none is.
func (s *Server) fetch(ctx context.Context, request *rpc.FetchRequest) (any, error) {
	if len(request.Groups) > 0 {
		return s.fetchGroups(request)
	}
	// A node that was just started holds what its last snapshot holds, until a leader has
	// told it how far the log is committed.
	if s.checkQuorumContact() != nil {
		return &rpc.FetchResponse{}, nil
	}
	return s.fullFetch.answer(ctx, s.state.Current(), request.AcceptsPacked)
}

func (s *Server) fetchGroups(request *rpc.FetchRequest) (any, error) {
	if err := s.checkQuorumContact(); err != nil {
		return nil, err
	}
	epoch := s.state.Current()
	response := &rpc.FetchResponse{Epoch: epoch.Epoch, Groups: map[string]rpc.Group{}}
	for _, name := range request.Groups {
		if group, ok := epoch.PublishedGroup(name); ok {
			response.Groups[name] = s.deltas.shorten(name, request.HeldDigests[name], group)
		}
	}
	if request.AcceptsPacked {
		if s.compressor.compress(response); response.Packed != nil {
			return response, nil
		}
	}
	encoded, err := s.encoder.response(response)
	if err != nil {
		return nil, errcode.New(errcode.Internal, "%v", err)
	}
	return &rpc.EncodedResponse{Body: encoded}, nil
}

// pulse answers with how old the confirmations of the configuration shard's leader are. At
// other nodes they are older by the time since they asked the leader.
func (s *Server) pulse(ctx context.Context) (*rpc.FreshnessResponse, error) {
	if s.consensus.Replica(ids.ConfigShard).IsServing() {
		return s.planner.Freshness()
	}
	return s.relay.get(ctx)
}

// Confirmation tells which epoch is in force, and how long ago that was confirmed.
func (s *Server) Confirmation(ctx context.Context) (ids.Epoch, time.Duration, error) {
	response, err := s.pulse(ctx)
	if err != nil {
		if response = s.relay.last(); response == nil {
			return 0, 0, err
		}
	}
	return response.Epoch, time.Duration(response.AgeMicros) * time.Microsecond, nil
}

// pulseLeader asks the configuration shard's leader for the ages of its confirmations.
func (s *Server) pulseLeader() (*rpc.FreshnessResponse, error) {
	name, ok := s.consensus.Leader(ids.ConfigShard)
	if !ok || name == s.env.Name {
		return nil, errcode.New(errcode.NoLeader, "configuration shard")
	}
	leader, ok := s.members.Lookup(name)
	if !ok {
		return nil, errcode.New(errcode.NoLeader, "configuration shard: %s is down", name)
	}
	ctx, cancel := context.WithTimeout(s.env, leaderPulseTimeout)
	defer cancel()
	var response rpc.FreshnessResponse
	if err := s.transport.Forward(ctx, leader.RPCAddress, kindLeaderPulse, 1, &rpc.FreshnessRequest{}, &response); err != nil {
		return nil, err
	}
	return &response, nil
}
