// Package consensus keeps the replicated parts. Each part has a log, a group of
// members and an owner of its own; nothing stands over the parts. An owner
// stands under a term, a majority's synced promises make it owner, a majority's
// synced entries make a write, and a majority's word that nobody stands higher
// makes a read. Members are told apart by birth, so an empty disk has no vote.
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

// StateMachine is what a part's entries are folded into. Apply must come out the
// same on every member; the receipt goes to whoever proposed the entry.
type StateMachine interface {
	Apply(index ids.Index, body json.RawMessage) any
	// Snapshot takes hold of the state as it is now; what it returns writes it out, while
	// further entries are applied.
	Snapshot() func() (json.RawMessage, error)
	Restore(state json.RawMessage) error
}

// Node is all the parts of one core node.
type Node struct {
	env       *environment.Environment
	transport *rpc.Transport
	members   *membership.Memberlist
	store     *storage.Store
	self      rpc.Peer
	replicas  []*Replica

	mu             sync.Mutex
	charter        *rpc.Charter
	bootstrapTerm  ids.Term
	leaders        map[ids.Shard]leaderRecord
	heartbeaters   map[rpc.Peer]*heartbeater
	receivedClaims map[rpc.Peer]claimState
	busy           map[ids.Shard]bool
	isStopping     bool
	started        time.Time
	isPrevoting    atomic.Bool                // whether to stand
	snapshotSlots  map[rpc.Peer]chan struct{} // of snapshots, one at a time to each member
	Bootstrapped   chan struct{}
}

type leaderRecord struct {
	name ids.NodeName
	term ids.Term
	at   time.Time
}

// LoadOrCreateMemberID reads the birth from the store, or makes one for an empty store.
func LoadOrCreateMemberID(store *storage.Store) (ids.MemberID, error) {
	raw, err := store.Get("birth")
	if err != nil {
		return "", err
	}
	if raw != nil {
		return ids.MemberID(raw), nil
	}
	id := ids.NewMemberID()
	batch := store.NewBatch()
	batch.Put("birth", []byte(id))
	store.Submit(batch)
	return id, batch.Wait()
}

func New(env *environment.Environment, transport *rpc.Transport, members *membership.Memberlist, store *storage.Store, machines []StateMachine) (*Node, error) {
	self := members.Self()
	n := &Node{env: env, transport: transport, members: members, store: store, self: rpc.Peer{Name: self.Name, ID: self.ID},
		leaders: map[ids.Shard]leaderRecord{}, heartbeaters: map[rpc.Peer]*heartbeater{}, receivedClaims: map[rpc.Peer]claimState{}, busy: map[ids.Shard]bool{}, snapshotSlots: map[rpc.Peer]chan struct{}{}, started: env.Now(), Bootstrapped: make(chan struct{})}
	for shard, machine := range machines {
		n.replicas = append(n.replicas, newReplica(n, ids.Shard(shard), machine))
	}
	if err := n.load(); err != nil {
		return nil, err
	}
	registerHandler(transport, "pact.promise", func(c *rpc.Request, request *rpc.VoteRequest) (any, error) {
		r, err := n.votingReplica(request.Shard)
		if err != nil {
			return nil, err
		}
		return r.handleVote(request)
	})
	registerHandler(transport, "pact.prevote", func(c *rpc.Request, request *rpc.PreVoteRequest) (any, error) { return n.handlePrevote(request), nil })
	registerHandler(transport, "pact.append", func(c *rpc.Request, request *rpc.AppendRequest) (any, error) {
		r, err := n.votingReplica(request.Shard)
		if err != nil {
			return nil, err
		}
		return r.handleAppend(request)
	})
	registerHandler(transport, "pact.chunk", func(c *rpc.Request, request *rpc.SnapshotChunkRequest) (any, error) {
		r, err := n.votingReplica(request.Shard)
		if err != nil {
			return nil, err
		}
		return r.handleSnapshotChunk(request)
	})
	registerHandler(transport, "pact.round", func(c *rpc.Request, request *rpc.HeartbeatRequest) (any, error) {
		return n.handleHeartbeat(request), nil
	})
	registerHandler(transport, "pact.invite", func(c *rpc.Request, request *rpc.CampaignRequest) (any, error) {
		r, err := n.lookupReplica(request.Shard)
		if err != nil {
			return nil, err
		}
		if !r.isTransferFromLeader(request) {
			return nil, errcode.New(errcode.NotOwner, "part %d: the invitation is of an old term", request.Shard)
		}
		n.env.Go(func() { r.campaign(true) })
		return struct{}{}, nil
	})
	n.registerRepair()
	registerHandler(transport, "pact.found", func(c *rpc.Request, request *rpc.BootstrapRequest) (any, error) { return n.handleBootstrap(request) })
	registerHandler(transport, "pact.charter", func(c *rpc.Request, request *struct{}) (any, error) {
		if charter := n.Charter(); charter != nil {
			return charter, nil
		}
		return nil, errcode.New(errcode.NoOwner, "no charter here")
	})
	return n, nil
}

// registerHandler reads the ask before the verb sees it.
func registerHandler[T any](transport *rpc.Transport, kind string, handler func(*rpc.Request, *T) (any, error)) {
	transport.Handle(kind, func(c *rpc.Request) (any, error) {
		var request T
		if err := c.Decode(&request); err != nil {
			return nil, err
		}
		return handler(c, &request)
	})
}

func (n *Node) lookupReplica(shard ids.Shard) (*Replica, error) {
	if shard < 0 || int(shard) >= len(n.replicas) {
		return nil, errcode.New(errcode.BadMessage, "no part %d", shard)
	}
	return n.replicas[shard], nil
}

// diskStallTimeout is for how long a write may take before this node gives up what it owns
// and takes no more from others: it has no vote that it can't sync.
const diskStallTimeout = time.Second

// votingReplica is a part of a fleet whose charter is open here. Before that this node has
// no vote: the charter may yet be given up for another.
func (n *Node) votingReplica(shard ids.Shard) (*Replica, error) {
	r, err := n.lookupReplica(shard)
	if err == nil && n.Charter() == nil {
		err = errcode.New(errcode.NotOwner, "part %d: no charter is open here", shard)
	}
	if err == nil && n.store.StallTime() > diskStallTimeout {
		err = errcode.New(errcode.StorageBroken, "part %d: the disk takes nothing", shard)
	}
	return r, err
}

// Replica is one of the parts; the number is known to be right.
func (n *Node) Replica(shard ids.Shard) *Replica { return n.replicas[shard] }

// Replicas is all of them.
func (n *Node) Replicas() []*Replica { return n.replicas }

func (n *Node) load() error {
	raw, err := n.store.Get("charter")
	if err != nil {
		return err
	}
	if raw != nil {
		charter := &rpc.Charter{}
		if err := json.Unmarshal(raw, charter); err != nil {
			return errcode.New(errcode.StorageBroken, "charter: %v", err)
		}
		n.charter, n.bootstrapTerm = charter, charter.Term
	}
	if raw, err = n.store.Get("pledge"); err != nil {
		return err
	}
	if raw != nil {
		if err := json.Unmarshal(raw, &n.bootstrapTerm); err != nil {
			return errcode.New(errcode.StorageBroken, "pledge: %v", err)
		}
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

// Start starts the tasks; kin and wire are open already.
func (n *Node) Start() {
	n.env.Go(n.supervise)
	n.env.Go(n.prevoteAfterStart)
	n.env.Go(n.repairLoop)
}

// Charter is the open charter, or nil.
func (n *Node) Charter() *rpc.Charter {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.charter == nil || !n.charter.Open {
		return nil
	}
	return n.charter
}

// Leader is who last claimed a part, as far as this node heard.
func (n *Node) Leader(shard ids.Shard) (ids.NodeName, bool) {
	if n.replicas[shard].IsLeader() {
		return n.env.Name, true
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	c, ok := n.leaders[shard]
	return c.name, ok && n.env.Since(c.at) < n.env.Config.PactContact
}

// HasQuorumContact tells whether this node knows of late that a majority follows a part's
// owner: as the owner by the word of the others, else by the word of the owner, which
// gives the part up when it has none of a majority. A node without contact may hold
// old state and not know it, so it gives nothing out.
func (n *Node) HasQuorumContact(shard ids.Shard) bool {
	if age, isServing := n.replicas[shard].ConfirmationAge(); isServing {
		return age < n.env.Config.PactContact
	}
	name, isKnown := n.Leader(shard)
	return isKnown && name != n.env.Name
}

// HasLostQuorum tells whether contact is lost for so long that a call is better
// taken to another node than held until it is back.
func (n *Node) HasLostQuorum(shard ids.Shard) bool {
	if n.HasQuorumContact(shard) {
		return false
	}
	n.mu.Lock()
	last := n.leaders[shard].at
	n.mu.Unlock()
	if last.Before(n.started) {
		last = n.started
	}
	return n.env.Since(last) > n.env.Config.PactContact
}

// supervise is the slow hand: founding, rounds to new peers, standing, membership.
func (n *Node) supervise() {
	tick := 0
	for n.env.Sleep(environment.Jitter(100 * time.Millisecond)) {
		if n.Charter() == nil {
			n.bootstrap()
			continue
		}
		n.keepHeartbeats()
		n.advertiseConfigVoter()
		isStalled := n.store.StallTime() > diskStallTimeout
		var due []*Replica
		for _, r := range n.replicas {
			if isStalled {
				r.resign("disk stalls")
				continue
			}
			r.checkQuorum()
			if r.isElectionDue() {
				due = append(due, r)
			}
		}
		n.prevoteAndCampaign(due)
		if tick++; tick%5 == 0 && !n.IsStopping() {
			for _, r := range n.replicas {
				if r.IsServing() {
					n.runOnce(r.shard, r.superviseVoters)
				}
			}
		}
	}
}

// advertiseConfigVoter lets others know whether this node holds the configuration part, for
// only such a node can tell proxies of it.
func (n *Node) advertiseConfigVoter() {
	r := n.replicas[ids.ConfigShard]
	r.mu.Lock()
	isVoter := r.voters.Contains(n.self)
	r.mu.Unlock()
	if n.members.Self().HoldsConfiguration != isVoter {
		n.members.UpdateSelf(func(m *rpc.Member) { m.HoldsConfiguration = isVoter })
	}
}

// runOnce runs a task for a part unless one is under way.
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

func (n *Node) IsStopping() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.isStopping
}

// TransferLeadership passes all owned parts on, for a planned stop.
func (n *Node) TransferLeadership(ctx context.Context) {
	n.mu.Lock()
	n.isStopping = true
	n.mu.Unlock()
	var all sync.WaitGroup
	for _, r := range n.replicas {
		if r.IsServing() {
			all.Add(1)
			n.env.Go(func() {
				defer all.Done()
				r.transferLeadership(ctx)
			})
		}
	}
	all.Wait()
	n.awaitQuorumWithoutSelf(ctx)
}

// A node that goes stays a voter for this share of its time to stop, as long as the
// others would be no majority without it.
const stopShare = 0.6

// awaitQuorumWithoutSelf waits until the other live members decide in every part without this
// one, or until the time for it is over.
func (n *Node) awaitQuorumWithoutSelf(ctx context.Context) {
	began, longest := n.env.Now(), time.Duration(stopShare*float64(n.env.Config.StopGrace))
	for ctx.Err() == nil && n.env.Since(began) < longest && n.isNeededForQuorum() {
		if !n.env.Sleep(50 * time.Millisecond) {
			return
		}
	}
}

// isNeededForQuorum tells whether some part has no majority of members beside this node that
// are live and not even suspected.
func (n *Node) isNeededForQuorum() bool {
	view := n.members.View()
	for _, r := range n.replicas {
		r.mu.Lock()
		voters := r.voters
		r.mu.Unlock()
		var remaining []rpc.Peer
		for _, peer := range voters.All() {
			m := view[peer.Name]
			if peer != n.self && m.ID == peer.ID && m.State == membership.StateAlive {
				remaining = append(remaining, peer)
			}
		}
		if voters.Contains(n.self) && !voters.HasQuorum(remaining) {
			return true
		}
	}
	return false
}

func (n *Node) log(event eventlog.Event, fields ...any) { n.env.Events.Say(event, fields...) }
