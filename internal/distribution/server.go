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

// leaderQueryTimeout limits a control node's freshness request to the leader.
const leaderQueryTimeout = 500 * time.Millisecond

// ServerConfig holds the dependencies of a Server.
type ServerConfig struct {
	Environment *environment.Environment
	Transport   *rpc.Transport
	Members     *membership.Memberlist
	Consensus   *consensus.Node
	State       *controlplane.ConfigState
	Planner     *controlplane.Planner
}

// Server is the control node's side. It serves long polls, fetches and freshness requests from
// the state that this node's replica of the configuration shard has applied. The paper has one
// admin server; here each replica serves.
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
	relay      *freshnessRelay
}

// NewServer returns a server and registers its handlers. It must be called before the
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
	s.relay = newFreshnessRelay(s.env, s.queryLeader)
	rpc.Handle(s.transport, kindListen, s.listen)
	rpc.Handle(s.transport, kindFetch, s.fetch)
	s.transport.Handle(kindFreshness, func(request *rpc.Request) (any, error) { return s.freshness(request) })
	s.transport.Handle(kindLeaderFreshness, func(*rpc.Request) (any, error) { return s.planner.Freshness() })
	return s
}

// checkQuorumContact returns an error if this node has no quorum contact, because its state may
// then be stale. The proxy uses another control node.
func (s *Server) checkQuorumContact() error {
	if s.consensus.HasQuorumContact(ids.ConfigShard) {
		return nil
	}
	return errcode.New(errcode.NoLeader, "no contact with a quorum of the configuration shard")
}

// listen handles a long poll (doLongPolling on the server in the paper). It responds with the
// changes once there is an epoch greater than the listener's, or without changes after
// distribution.long_poll_timeout.
func (s *Server) listen(ctx context.Context, request *rpc.ListenRequest) (*rpc.ListenResponse, error) {
	pollTimer := time.NewTimer(s.env.Config.DistributionLongPollTimeout)
	defer pollTimer.Stop()
	clientManifest := request.Versions
	if request.CombinedDigest != "" {
		epoch := s.state.AtEpoch(request.Epoch)
		if epoch == nil || epoch.ManifestDigest() != request.CombinedDigest {
			return &rpc.ListenResponse{Epoch: request.Epoch, UnknownDigest: true}, nil
		}
		clientManifest = epoch.Manifest()
	}
	for {
		changed := s.consensus.Replica(ids.ConfigShard).Changed()
		epoch := s.state.Current()
		if epoch.Epoch > request.Epoch {
			if err := s.checkQuorumContact(); err != nil {
				return nil, err
			}
			response := changesSince(epoch, clientManifest)
			response.Age = epoch.Age().Milliseconds()
			if request.AcceptsDeltas {
				response.Deltas = s.deltas.inline(epoch, clientManifest, response.Changed)
			}
			return response, nil
		}
		select {
		case <-changed:
		case <-pollTimer.C:
			return &rpc.ListenResponse{Epoch: epoch.Epoch}, nil
		case <-ctx.Done():
			return &rpc.ListenResponse{Epoch: epoch.Epoch}, nil
		case <-s.env.Done():
			return nil, errcode.New(errcode.Stopping, "")
		}
	}
}

// changesSince returns a response with the differences between an epoch and the listener's
// manifest.
func changesSince(epoch *controlplane.EpochState, clientManifest map[string]rpc.GroupVersion) *rpc.ListenResponse {
	response := &rpc.ListenResponse{Epoch: epoch.Epoch, Changed: map[string]rpc.GroupVersion{}}
	manifest := epoch.Manifest()
	for name, version := range manifest {
		if clientVersion, ok := clientManifest[name]; !ok || clientVersion != version {
			response.Changed[name] = version
		}
	}
	for name := range clientManifest {
		if _, ok := manifest[name]; !ok {
			response.Removed = append(response.Removed, name)
		}
	}
	return response
}

// fetch handles a fetch of the named groups, or of all groups if none is named
// (fetchGroupConfig on the server in the paper).
func (s *Server) fetch(ctx context.Context, request *rpc.FetchRequest) (any, error) {
	if len(request.Groups) > 0 {
		return s.fetchGroups(request)
	}
	// A newly started node has only the state of its last snapshot until a leader reports the
	// commit index.
	if s.checkQuorumContact() != nil {
		return &rpc.FetchResponse{}, nil
	}
	return s.fullFetch.handle(ctx, s.state.Current(), request.AcceptsPacked)
}

func (s *Server) fetchGroups(request *rpc.FetchRequest) (any, error) {
	if err := s.checkQuorumContact(); err != nil {
		return nil, err
	}
	epoch := s.state.Current()
	response := &rpc.FetchResponse{Epoch: epoch.Epoch, Groups: map[string]rpc.Group{}}
	for _, name := range request.Groups {
		if group, ok := epoch.PublishedGroup(name); ok {
			response.Groups[name] = s.deltas.encode(name, request.HeldDigests[name], group)
		}
	}
	if request.AcceptsPacked {
		if s.compressor.compress(response); response.Packed != nil {
			return response, nil
		}
	}
	encoded, err := s.encoder.encodeResponse(response)
	if err != nil {
		return nil, errcode.New(errcode.Internal, "%v", err)
	}
	return &rpc.EncodedResponse{Body: encoded}, nil
}

// freshness returns the ages of the confirmations of the configuration shard's leader. On
// other nodes the ages include the time since the request to the leader was sent.
func (s *Server) freshness(ctx context.Context) (*rpc.FreshnessResponse, error) {
	if s.consensus.Replica(ids.ConfigShard).IsServing() {
		return s.planner.Freshness()
	}
	return s.relay.get(ctx)
}

// Confirmation returns the epoch in force and the time since it was confirmed. If the leader
// cannot be reached, it returns the leader's last response with its age; it fails only if
// there was none.
func (s *Server) Confirmation(ctx context.Context) (ids.Epoch, time.Duration, error) {
	response, err := s.freshness(ctx)
	if err != nil {
		if response = s.relay.last(); response == nil {
			return 0, 0, err
		}
	}
	return response.Epoch, time.Duration(response.AgeMicros) * time.Microsecond, nil
}

// queryLeader requests the ages of the confirmations from the configuration shard's leader.
func (s *Server) queryLeader() (*rpc.FreshnessResponse, error) {
	name, ok := s.consensus.Leader(ids.ConfigShard)
	if !ok || name == s.env.Name {
		return nil, errcode.New(errcode.NoLeader, "configuration shard")
	}
	leader, ok := s.members.Lookup(name)
	if !ok {
		return nil, errcode.New(errcode.NoLeader, "configuration shard: %s is down", name)
	}
	ctx, cancel := context.WithTimeout(s.env, leaderQueryTimeout)
	defer cancel()
	var response rpc.FreshnessResponse
	if err := s.transport.Forward(ctx, leader.RPCAddress, kindLeaderFreshness, 1, &rpc.FreshnessRequest{}, &response); err != nil {
		return nil, err
	}
	return &response, nil
}
