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

// StateMachine is what a shard's commands are applied to. All its methods are called
// under the replica's lock, except the function that Snapshot returns.
type StateMachine interface {
	// Apply applies a committed command. It must come out the same on every member. The
	// response goes to whoever proposed the command.
	Apply(index ids.Index, command json.RawMessage) any
	// Snapshot captures the state as it is now. The function it returns encodes that, while
	// further commands are applied.
	Snapshot() func() (json.RawMessage, error)
	// Restore replaces the state by one that was encoded. An error leaves it as it was.
	Restore(state json.RawMessage) error
}

// Node is the replicas of one core node, one for each shard.
type Node struct {
	env       *environment.Environment
	transport *rpc.Transport
	members   *membership.Memberlist
	store     *storage.Store
	self      rpc.Peer
	replicas  []*Replica // by shard
	started   time.Time
	// isPrevoting says that a pre-vote for silent leaders is under way; one at a time.
	isPrevoting atomic.Bool

	// mu guards everything below. A replica's lock may be held when it is taken, never
	// the other way round.
	mu             sync.Mutex
	charter        *rpc.Charter // accepted, maybe not open yet
	bootstrapTerm  ids.Term     // promised in the course of bootstrap
	leaders        map[ids.Shard]leaderRecord
	heartbeaters   map[rpc.Peer]*heartbeater
	receivedClaims map[rpc.Peer]claimState
	busy           map[ids.Shard]bool // shards with a task of runOnce
	isStopping     bool
	snapshotSlots  map[rpc.Peer]chan struct{} // held while a snapshot is sent to a member

	// Bootstrapped is closed when the cluster's charter is open here.
	Bootstrapped chan struct{}
}

// Config is what a Node is made of.
type Config struct {
	Environment *environment.Environment
	Transport   *rpc.Transport
	Members     *membership.Memberlist
	Store       *storage.Store
	// StateMachines has one for each shard, by number.
	StateMachines []StateMachine
}

// LoadOrCreateMemberID reads the member id from the store; an empty store gets a new one.
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

// Keys of a node's own records in the store.
const (
	memberIDKey      = "birth"
	charterKey       = "charter"
	bootstrapTermKey = "pledge"
)

// New loads a node from its store and registers its handlers. It does nothing of itself
// before Start. The error is StorageBroken if the store is damaged.
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
		busy:           map[ids.Shard]bool{},
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
// member list are open by then.
func (n *Node) Start() {
	n.env.Go(n.supervise)
	n.env.Go(n.prevoteAtStartup)
	n.env.Go(n.repairLoop)
}

// Kinds of messages between nodes. Their names on the wire are older than the terms here.
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

// registerHandlers registers the handlers of all kinds of messages.
func (n *Node) registerHandlers() {
	rpc.Handle(n.transport, kindVote, onReplica(n.votingReplica, func(m *rpc.VoteRequest) ids.Shard { return m.Shard }, (*Replica).handleVote))
	rpc.Handle(n.transport, kindAppend, onReplica(n.votingReplica, func(m *rpc.AppendRequest) ids.Shard { return m.Shard }, (*Replica).handleAppend))
	rpc.Handle(n.transport, kindSnapshotChunk, onReplica(n.votingReplica, func(m *rpc.SnapshotChunkRequest) ids.Shard { return m.Shard }, (*Replica).handleSnapshotChunk))
	rpc.Handle(n.transport, kindTransfer, onReplica(n.replica, func(m *rpc.CampaignRequest) ids.Shard { return m.Shard }, (*Replica).handleTransfer))
	rpc.Handle(n.transport, kindCompare, onReplica(n.replica, func(m *rpc.RangeDigestRequest) ids.Shard { return m.Shard }, (*Replica).handleCompare))
	rpc.Handle(n.transport, kindRepair, onReplica(n.replica, func(m *rpc.RepairRequest) ids.Shard { return m.Shard }, (*Replica).handleRepair))
	rpc.Handle(n.transport, kindPrevote, onNode(n.handlePrevote))
	rpc.Handle(n.transport, kindHeartbeat, onNode(n.handleHeartbeat))
	rpc.Handle(n.transport, kindBootstrap, onNode(n.handleBootstrap))
	rpc.Handle(n.transport, kindCharter, onNode(n.handleCharter))
}

// onNode makes a handler of a method that needs no context.
func onNode[Request, Response any](method func(*Request) (Response, error)) func(context.Context, *Request) (Response, error) {
	return func(_ context.Context, request *Request) (Response, error) { return method(request) }
}

// onReplica makes a handler of a method of the replica that a request is for.
func onReplica[Request, Response any](
	find func(ids.Shard) (*Replica, error),
	shardOf func(*Request) ids.Shard,
	method func(*Replica, *Request) (Response, error),
) func(context.Context, *Request) (Response, error) {
	return func(_ context.Context, request *Request) (response Response, err error) {
		r, err := find(shardOf(request))
		if err != nil {
			return response, err
		}
		return method(r, request)
	}
}

// replica returns the replica of a shard that somebody else named.
func (n *Node) replica(shard ids.Shard) (*Replica, error) {
	if shard < 0 || int(shard) >= len(n.replicas) {
		return nil, errcode.New(errcode.InvalidMessage, "no shard %d", shard)
	}
	return n.replicas[shard], nil
}

// diskStallTimeout is how long a write may take before this node steps down everywhere and
// takes nothing from others: it has no vote that it can't sync.
const diskStallTimeout = time.Second

func (n *Node) isDiskStalled() bool { return n.store.StallTime() > diskStallTimeout }

// votingReplica returns a replica that may vote and take entries. It may not before the
// charter is open here, as the charter may yet give way to another.
func (n *Node) votingReplica(shard ids.Shard) (*Replica, error) {
	r, err := n.replica(shard)
	switch {
	case err != nil:
		return nil, err
	case n.Charter() == nil:
		return nil, errcode.New(errcode.NotLeader, "shard %d: no charter is open here", shard)
	case n.isDiskStalled():
		return nil, errcode.New(errcode.StorageBroken, "shard %d: the disk takes nothing", shard)
	}
	return r, nil
}

// Replica returns the replica of a shard, whose number must be valid.
func (n *Node) Replica(shard ids.Shard) *Replica { return n.replicas[shard] }

// Replicas returns all replicas, by shard.
func (n *Node) Replicas() []*Replica { return n.replicas }

// runOnce runs a task for a shard unless one is under way.
func (n *Node) runOnce(shard ids.Shard, task func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.busy[shard] {
		return
	}
	n.busy[shard] = true
	n.env.Go(func() {
		task()
		n.mu.Lock()
		n.busy[shard] = false
		n.mu.Unlock()
	})
}

// memberOf returns a peer as the member list has it; false if it is unknown, or known
// under another member id.
func (n *Node) memberOf(peer rpc.Peer) (membership.NodeState, bool) {
	m, ok := n.members.View()[peer.Name]
	return m, ok && m.ID == peer.ID
}

// addressOf returns the address for messages to a peer.
func (n *Node) addressOf(peer rpc.Peer) (address string, ok bool) {
	m, ok := n.memberOf(peer)
	return m.RPCAddress, ok
}

// call sends one message and decodes the response.
func (n *Node) call(ctx context.Context, timeout time.Duration, address, kind string, request, response any) error {
	limited, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return n.transport.Call(limited, address, kind, request, response)
}

func (n *Node) logEvent(event eventlog.Event, fields ...any) { n.env.Events.Emit(event, fields...) }
