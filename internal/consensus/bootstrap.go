package consensus

import (
	"context"
	"sort"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/eventlog"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// Steps of bootstrap. The first two are the phases of single-decree Paxos, with all
// founders instead of a quorum; the third opens the charter that all have accepted.
const (
	stepPrepare = "promise"
	stepAccept  = "accept"
	stepOpen    = "open"
)

// bootstrapTimeout bounds one bootstrap step.
const bootstrapTimeout = 2 * time.Second

// bootstrap joins an existing cluster or tries to form a new one. Once the expected number
// of empty core nodes have discovered one another, the first of them by name proposes a
// charter. It opens only after all founders have promised, accepted and synced it, so two
// charters can never open; a later proposer adopts the newest charter that was accepted.
// An empty node that finds an open charter adopts it and proposes none.
func (n *Node) bootstrap() {
	cores := n.members.CoreMembers()
	if n.joinCluster(cores) {
		return
	}
	if founders := n.founders(cores); founders != nil {
		n.proposeCharter(founders)
	}
}

// joinCluster adopts the first open charter received from another core node, and reports
// whether it adopted one. All nodes are queried concurrently, because a call to a dead node
// lasts until the timeout.
func (n *Node) joinCluster(cores []rpc.Member) bool {
	ctx, cancel := context.WithTimeout(n.env, bootstrapTimeout)
	defer cancel()
	charters := make(chan *rpc.Charter, len(cores))
	pending := 0
	for _, m := range cores {
		if m.Fleet == "" || m.Name == n.env.Name {
			continue
		}
		pending++
		n.env.Go(func() {
			charter := &rpc.Charter{}
			if n.transport.Call(ctx, m.RPCAddress, kindCharter, struct{}{}, charter) != nil {
				charter = nil
			}
			charters <- charter
		})
	}
	for range pending {
		charter := <-charters
		if charter != nil && charter.Open && n.putCharter(charter, charter.Term) == nil {
			n.logEvent(eventlog.FleetJoined, "fleet", charter.Fleet)
			// A leader replaces a lost voter only by a node that is known to have joined.
			n.members.AnnounceSelf()
			return true
		}
	}
	return false
}

// founders returns the founders of a new cluster. It returns nil if there are too few of
// them, if a core node already belongs to a cluster, or if this node is not the first
// founder by name.
func (n *Node) founders(cores []rpc.Member) (founders []rpc.Member) {
	self := n.members.Self()
	sort.Slice(cores, func(i, j int) bool { return cores[i].Name < cores[j].Name })
	for _, m := range cores {
		if m.Fleet != "" {
			return nil
		}
		if m.Founders == self.Founders && len(founders) < self.Founders {
			founders = append(founders, m)
		}
	}
	if self.Founders == 0 || len(founders) < self.Founders || founders[0].Name != self.Name {
		return nil
	}
	return founders
}

// proposeCharter runs the bootstrap steps once. It stops if not all founders accept a step.
func (n *Node) proposeCharter(founders []rpc.Member) {
	n.mu.Lock()
	term := ids.Term{Number: n.bootstrapTerm.Number + 1, Node: n.self.Name}
	n.mu.Unlock()
	charter := newCharter(founders)
	responses, ok := n.requestAll(founders, &rpc.BootstrapRequest{Step: stepPrepare, Term: term, From: n.self})
	var newestTerm ids.Term
	for _, response := range responses {
		if response.Charter != nil && newestTerm.Less(response.Charter.Term) {
			newestTerm, charter = response.Charter.Term, response.Charter
		}
		n.raiseBootstrapTerm(response.CurrentTerm)
	}
	if !ok {
		return
	}
	if hasNewMemberID(charter.Members, founders) {
		// A founder lost its disk before the charter opened. The charter can be replaced:
		// all founders have promised this term, none of them has opened the charter, and
		// nothing is written before it is open.
		charter = newCharter(founders)
	}
	charter.Term = term
	if _, ok := n.requestAll(charter.Members, &rpc.BootstrapRequest{Step: stepAccept, Term: term, Charter: charter, From: n.self}); !ok {
		return
	}
	openCharter := *charter
	openCharter.Open = true
	// A founder that misses this step gets the charter from another node in joinCluster.
	n.requestAll(charter.Members, &rpc.BootstrapRequest{Step: stepOpen, Term: term, Charter: &openCharter, From: n.self})
}

func newCharter(founders []rpc.Member) *rpc.Charter {
	return &rpc.Charter{Fleet: ids.NewID(), Members: founders, ShardCount: ids.ShardCount}
}

// raiseBootstrapTerm raises the term number that the next proposal must exceed.
func (n *Node) raiseBootstrapTerm(term ids.Term) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.bootstrapTerm.Number = max(n.bootstrapTerm.Number, term.Number)
}

// hasNewMemberID reports whether both lists contain the same nodes and at least one node
// has a different member id.
func hasNewMemberID(members, founders []rpc.Member) bool {
	memberIDs := map[ids.NodeName]ids.MemberID{}
	for _, m := range members {
		memberIDs[m.Name] = m.ID
	}
	hasNewID := false
	for _, m := range founders {
		id, ok := memberIDs[m.Name]
		if !ok {
			return false
		}
		hasNewID = hasNewID || id != m.ID
	}
	return hasNewID && len(members) == len(founders)
}

// requestAll sends one bootstrap step to all founders, including this node, and reports
// whether all of them accepted it.
func (n *Node) requestAll(founders []rpc.Member, request *rpc.BootstrapRequest) (responses []*rpc.BootstrapResponse, allAccepted bool) {
	ctx, cancel := context.WithTimeout(n.env, bootstrapTimeout)
	defer cancel()
	type result struct {
		response *rpc.BootstrapResponse
		accepted bool
	}
	results := make(chan result, len(founders))
	for _, m := range founders {
		n.env.Go(func() {
			response := &rpc.BootstrapResponse{}
			var err error
			if m.Name == n.self.Name {
				response, err = n.handleBootstrap(request)
			} else {
				err = n.transport.Call(ctx, m.RPCAddress, kindBootstrap, request, response)
			}
			if err != nil {
				results <- result{}
				return
			}
			results <- result{response, response.Accepted && response.From.ID == m.ID}
		})
	}
	allAccepted = true
	for range founders {
		got := <-results
		allAccepted = allAccepted && got.accepted
		if got.response != nil {
			responses = append(responses, got.response)
		}
	}
	return responses, allAccepted
}

// handleBootstrap handles one bootstrap step. It does not accept a step after the charter
// has opened, nor one below the promised term except stepOpen. The response carries this
// node's charter.
func (n *Node) handleBootstrap(request *rpc.BootstrapRequest) (*rpc.BootstrapResponse, error) {
	n.mu.Lock()
	response := &rpc.BootstrapResponse{From: n.self, CurrentTerm: n.bootstrapTerm, Charter: n.charter}
	isOpen := n.charter != nil && n.charter.Open
	isLower := request.Term.Less(n.bootstrapTerm)
	n.mu.Unlock()
	if request.Step != stepPrepare && request.Charter == nil {
		return nil, errcode.New(errcode.InvalidMessage, "bootstrap step %q has no charter", request.Step)
	}
	if isOpen || isLower && request.Step != stepOpen {
		return response, nil
	}
	switch request.Step {
	case stepPrepare:
		if err := n.putBootstrapTerm(request.Term); err != nil {
			return nil, err
		}
	case stepAccept, stepOpen:
		if err := n.putCharter(request.Charter, request.Term); err != nil {
			return nil, err
		}
		if request.Step == stepOpen {
			n.logEvent(eventlog.FleetFounded, "fleet", request.Charter.Fleet, "members", len(request.Charter.Members))
		}
	default:
		return nil, errcode.New(errcode.InvalidMessage, "unknown bootstrap step %q", request.Step)
	}
	response.Accepted, response.CurrentTerm = true, request.Term
	return response, nil
}

// putBootstrapTerm promises a term and waits until it is synced.
func (n *Node) putBootstrapTerm(term ids.Term) error {
	n.mu.Lock()
	n.bootstrapTerm = term
	n.mu.Unlock()
	batch := n.store.NewBatch()
	batch.Put(bootstrapTermKey, encodeRecord(term))
	n.store.Submit(batch)
	return batch.Wait()
}

// putCharter stores a charter and waits until it is synced. If the charter is open, the
// node enters the cluster. An already open charter is never replaced.
func (n *Node) putCharter(charter *rpc.Charter, term ids.Term) error {
	n.mu.Lock()
	if n.charter != nil && n.charter.Open {
		n.mu.Unlock()
		return nil
	}
	if term.Less(n.bootstrapTerm) && !charter.Open {
		n.mu.Unlock()
		return errcode.New(errcode.NotLeader, "a higher bootstrap term was promised")
	}
	n.charter, n.bootstrapTerm = charter, term
	batch := n.store.NewBatch()
	batch.Put(charterKey, encodeRecord(charter))
	n.store.Submit(batch)
	n.mu.Unlock()
	if err := batch.Wait(); err != nil {
		return err
	}
	if n.env.Trace != nil {
		n.env.Trace(CharterEvent{IsOpen: charter.Open})
	}
	if charter.Open {
		n.enterCluster(charter)
	}
	return nil
}

// enterCluster sets the initial voters of every shard and announces the cluster id to the
// other members.
func (n *Node) enterCluster(charter *rpc.Charter) {
	for _, r := range n.replicas {
		r.mu.Lock()
		if r.log.snapshot.Index == 0 && len(r.log.snapshot.Voters) == 0 {
			r.log.snapshot.Voters = SelectVoters(r.shard, charter.Members, n.env.Config.ConsensusFaultTolerance)
			r.updateVoters()
		}
		r.election.timerStart = n.env.Now()
		r.mu.Unlock()
	}
	n.members.UpdateSelf(func(m *rpc.Member) { m.Fleet = charter.Fleet })
	close(n.Bootstrapped)
}

// Charter returns the cluster's charter, or nil if it is not open on this node.
func (n *Node) Charter() *rpc.Charter {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.charter == nil || !n.charter.Open {
		return nil
	}
	return n.charter
}

// clusterID returns the cluster's id, or "" if the charter is not open on this node.
func (n *Node) clusterID() string {
	if charter := n.Charter(); charter != nil {
		return charter.Fleet
	}
	return ""
}

// handleCharter returns the open charter to a node that wants to join the cluster.
func (n *Node) handleCharter(*struct{}) (*rpc.Charter, error) {
	if charter := n.Charter(); charter != nil {
		return charter, nil
	}
	return nil, errcode.New(errcode.NoLeader, "no open charter on this node")
}
