package consensus

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/eventlog"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/membership"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
	"github.com/sumactrestle/sumactrestle/internal/storage"
)

// StateMachine is the state of one shard, to which the committed commands are applied. All
// methods are called under the replica's lock, except the function that Snapshot returns.
type StateMachine interface {
	// Apply applies a committed command. It must be deterministic, so that all replicas
	// reach the same state. The response is returned to the proposer.
	Apply(index ids.Index, command json.RawMessage) any
	// Snapshot captures the current state. The returned function encodes the captured state;
	// it may run while further commands are applied.
	Snapshot() func() (json.RawMessage, error)
	// Restore replaces the state by an encoded one. On an error the state is unchanged.
	Restore(state json.RawMessage) error
}

// Node holds the replicas of one core node, one for each shard.
type Node struct {
	env       *environment.Environment
	transport *rpc.Transport
	members   *membership.Memberlist
	store     *storage.Store
	self      rpc.Peer
	replicas  []*Replica // indexed by shard
	started   time.Time
	// isPrevoting is set while a pre-vote runs, so that there is at most one at a time.
	isPrevoting atomic.Bool

	// mu guards the fields below. Lock order: Replica.mu before Node.mu.
	mu             sync.Mutex
	charter        *rpc.Charter // accepted, possibly not open yet
	bootstrapTerm  ids.Term     // highest term accepted during bootstrap
	leaders        map[ids.Shard]leaderRecord
	heartbeaters   map[rpc.Peer]*heartbeater
	receivedClaims map[rpc.Peer]claimState
	busyShards     map[ids.Shard]bool // shards with a task started by runUnlessBusy
	isStopping     bool
	snapshotSlots  map[rpc.Peer]chan struct{} // capacity 1; filled while a snapshot is sent to the member

	// Bootstrapped is closed when this node has an open cluster charter.
	Bootstrapped chan struct{}
}

// Config holds the dependencies of a Node.
type Config struct {
	Environment *environment.Environment
	Transport   *rpc.Transport
	Members     *membership.Memberlist
	Store       *storage.Store
	// StateMachines is indexed by shard.
	StateMachines []StateMachine
}

// LoadOrCreateMemberID returns the member id in the store. If there is none, it creates one
// and syncs it first.
func LoadOrCreateMemberID(store *storage.Store) (ids.MemberID, error) {
	raw, err := store.Get(memberIDKey)
	if err != nil {
		return "", err
	}
	if raw != nil {
		return ids.MemberID(raw), nil
	}
	id := ids.NewMemberID()
	batch := store.NewBatch()
	batch.Put(memberIDKey, []byte(id))
	store.Submit(batch)
	return id, batch.Wait()
}

// Store keys of the records of a node, as opposed to those of a shard.
const (
	memberIDKey      = "birth"
	charterKey       = "charter"
	bootstrapTermKey = "pledge"
)

// New loads a node from its store and registers its message handlers. No task runs before
// Start. The error is StorageBroken if the store is damaged.
func New(config Config) (*Node, error) {
	self := config.Members.Self()
	n := &Node{
		env:            config.Environment,
		transport:      config.Transport,
		members:        config.Members,
		store:          config.Store,
		self:           rpc.Peer{Name: self.Name, ID: self.ID},
		started:        config.Environment.Now(),
		leaders:        map[ids.Shard]leaderRecord{},
		heartbeaters:   map[rpc.Peer]*heartbeater{},
		receivedClaims: map[rpc.Peer]claimState{},
		busyShards:     map[ids.Shard]bool{},
		snapshotSlots:  map[rpc.Peer]chan struct{}{},
		Bootstrapped:   make(chan struct{}),
	}
	for shard, stateMachine := range config.StateMachines {
		n.replicas = append(n.replicas, newReplica(n, ids.Shard(shard), stateMachine))
	}
	if err := n.load(); err != nil {
		return nil, err
	}
	n.registerHandlers()
	return n, nil
}

func (n *Node) load() error {
	charter := &rpc.Charter{}
	found, err := n.loadRecord(charterKey, charter)
	if err != nil {
		return err
	}
	if found {
		n.charter, n.bootstrapTerm = charter, charter.Term
	}
	if _, err := n.loadRecord(bootstrapTermKey, &n.bootstrapTerm); err != nil {
		return err
	}
	for _, r := range n.replicas {
		if err := r.load(); err != nil {
			return err
		}
	}
	if n.charter != nil && n.charter.Open {
		n.enterCluster(n.charter)
	}
	return nil
}

func (n *Node) loadRecord(key string, target any) (found bool, err error) {
	raw, err := n.store.Get(key)
	if err != nil || raw == nil {
		return false, err
	}
	if err := json.Unmarshal(raw, target); err != nil {
		return false, errcode.New(errcode.StorageBroken, "%s: %v", key, err)
	}
	return true, nil
}

// Start starts the node's tasks, which end with its environment. The transport and the
// member list must be open.
func (n *Node) Start() {
	n.env.Go(n.supervise)
	n.env.Go(n.prevoteAtStartup)
	n.env.Go(n.repairLoop)
}

// Kinds of messages between nodes. The wire names are kept for compatibility and differ from
// the terms used in the code.
const (
	kindVote          = "pact.promise"
	kindPrevote       = "pact.prevote"
	kindAppend        = "pact.append"
	kindSnapshotChunk = "pact.chunk"
	kindTransfer      = "pact.invite"
	kindHeartbeat     = "pact.round"
	kindCompare       = "pact.compare"
	kindRepair        = "pact.mend"
	kindBootstrap     = "pact.found"
	kindCharter       = "pact.charter"
)

func (n *Node) registerHandlers() {
	rpc.Handle(n.transport, kindVote, replicaHandler(n.votingReplica, func(m *rpc.VoteRequest) ids.Shard { return m.Shard }, (*Replica).handleVote))
	rpc.Handle(n.transport, kindAppend, replicaHandler(n.votingReplica, func(m *rpc.AppendRequest) ids.Shard { return m.Shard }, (*Replica).handleAppend))
	rpc.Handle(n.transport, kindSnapshotChunk, replicaHandler(n.votingReplica, func(m *rpc.SnapshotChunkRequest) ids.Shard { return m.Shard }, (*Replica).handleSnapshotChunk))
	rpc.Handle(n.transport, kindTransfer, replicaHandler(n.replica, func(m *rpc.CampaignRequest) ids.Shard { return m.Shard }, (*Replica).handleTransfer))
	rpc.Handle(n.transport, kindCompare, replicaHandler(n.replica, func(m *rpc.RangeDigestRequest) ids.Shard { return m.Shard }, (*Replica).handleCompare))
	rpc.Handle(n.transport, kindRepair, replicaHandler(n.replica, func(m *rpc.RepairRequest) ids.Shard { return m.Shard }, (*Replica).handleRepair))
	rpc.Handle(n.transport, kindPrevote, nodeHandler(n.handlePrevote))
	rpc.Handle(n.transport, kindHeartbeat, nodeHandler(n.handleHeartbeat))
	rpc.Handle(n.transport, kindBootstrap, nodeHandler(n.handleBootstrap))
	rpc.Handle(n.transport, kindCharter, nodeHandler(n.handleCharter))
}

// nodeHandler returns a message handler that calls a method without a context.
func nodeHandler[Request, Response any](method func(*Request) (Response, error)) func(context.Context, *Request) (Response, error) {
	return func(_ context.Context, request *Request) (Response, error) { return method(request) }
}

// replicaHandler returns a message handler that calls a method on the replica of the
// request's shard.
func replicaHandler[Request, Response any](
	replicaOf func(ids.Shard) (*Replica, error),
	shardOf func(*Request) ids.Shard,
	method func(*Replica, *Request) (Response, error),
) func(context.Context, *Request) (Response, error) {
	return func(_ context.Context, request *Request) (response Response, err error) {
		r, err := replicaOf(shardOf(request))
		if err != nil {
			return response, err
		}
		return method(r, request)
	}
}

// replica returns the replica of a shard; unlike Replica, it checks the number, which may
// come from a message.
func (n *Node) replica(shard ids.Shard) (*Replica, error) {
	if shard < 0 || int(shard) >= len(n.replicas) {
		return nil, errcode.New(errcode.InvalidMessage, "no shard %d", shard)
	}
	return n.replicas[shard], nil
}

// diskStallTimeout is how long a write may take before this node steps down in all shards
// and rejects vote requests, entries and snapshots, as it could not sync them.
const diskStallTimeout = time.Second

func (n *Node) isDiskStalled() bool { return n.store.StallTime() > diskStallTimeout }

// votingReplica returns the replica of a shard for a message that asks for a vote or carries
// log data. It fails until this node's charter is open, because a charter that is only
// accepted may still be replaced by another, and while the disk is stalled.
func (n *Node) votingReplica(shard ids.Shard) (*Replica, error) {
	r, err := n.replica(shard)
	switch {
	case err != nil:
		return nil, err
	case n.Charter() == nil:
		return nil, errcode.New(errcode.NotLeader, "shard %d: this node has no open charter", shard)
	case n.isDiskStalled():
		return nil, errcode.New(errcode.StorageBroken, "shard %d: disk writes are stalled", shard)
	}
	return r, nil
}

// Replica returns the replica of a shard, whose number must be valid.
func (n *Node) Replica(shard ids.Shard) *Replica { return n.replicas[shard] }

// Replicas returns all replicas, indexed by shard.
func (n *Node) Replicas() []*Replica { return n.replicas }

// runUnlessBusy starts a task for a shard, unless an earlier one for the shard still runs.
func (n *Node) runUnlessBusy(shard ids.Shard, task func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.busyShards[shard] {
		return
	}
	n.busyShards[shard] = true
	n.env.Go(func() {
		task()
		n.mu.Lock()
		n.busyShards[shard] = false
		n.mu.Unlock()
	})
}

// memberState returns a peer's entry in the member list; false if the peer is unknown or
// listed with another member id.
func (n *Node) memberState(peer rpc.Peer) (membership.NodeState, bool) {
	m, ok := n.members.View()[peer.Name]
	return m, ok && m.ID == peer.ID
}

// addressOf returns a peer's RPC address; false as for memberState.
func (n *Node) addressOf(peer rpc.Peer) (address string, ok bool) {
	m, ok := n.memberState(peer)
	return m.RPCAddress, ok
}

// call sends a request and decodes the response into response, within timeout.
func (n *Node) call(ctx context.Context, timeout time.Duration, address, kind string, request, response any) error {
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return n.transport.Call(callCtx, address, kind, request, response)
}

func (n *Node) logEvent(event eventlog.Event, fields ...any) { n.env.Events.Emit(event, fields...) }
