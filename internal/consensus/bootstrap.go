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
// founders in place of a quorum; the third tells them that all have accepted.
const (
	stepPrepare = "promise"
	stepAccept  = "accept"
	stepOpen    = "open"
)

// bootstrapTimeout bounds one step with all founders.
const bootstrapTimeout = 2 * time.Second

// bootstrap joins a cluster if there is one, or tries to form one. Only when the expected
// number of distinct empty core nodes have seen one another does the first of them by name
// propose a charter. All of them must promise, accept and sync it before it opens, so no
// two charters can ever open; a later proposer carries on the newest charter it finds.
// Where an open charter exists, an empty node takes that over and never proposes.
func (n *Node) bootstrap() {
	cores := n.members.CoreMembers()
	if n.joinCluster(cores) {
		return
	}
	if founders := n.founders(cores); founders != nil {
		n.proposeCharter(founders)
	}
}

// joinCluster takes over the open charter of the first node that answers with one. All are
// asked at once: one that is gone says nothing for as long as a call may take.
func (n *Node) joinCluster(cores []rpc.Member) bool {
	ctx, cancel := context.WithTimeout(n.env, bootstrapTimeout)
	defer cancel()
	charters := make(chan *rpc.Charter, len(cores))
	asked := 0
	for _, m := range cores {
		if m.Fleet == "" || m.Name == n.env.Name {
			continue
		}
		asked++
		n.env.Go(func() {
			charter := &rpc.Charter{}
			if n.transport.Call(ctx, m.RPCAddress, kindCharter, struct{}{}, charter) != nil {
				charter = nil
			}
			charters <- charter
		})
	}
	for range asked {
		charter := <-charters
		if charter != nil && charter.Open && n.putCharter(charter, charter.Term) == nil {
			n.logEvent(eventlog.FleetJoined, "fleet", charter.Fleet)
			// A leader gives a lost voter's place only to a node that it knows to have joined.
			n.members.AnnounceSelf()
			return true
		}
	}
	return false
}

// founders returns the nodes that are to form a cluster, if they are complete, none of the
// nodes here has one, and this node is the first of them.
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

// proposeCharter goes through the steps of bootstrap once, with all founders.
func (n *Node) proposeCharter(founders []rpc.Member) {
	n.mu.Lock()
	term := ids.Term{Number: n.bootstrapTerm.Number + 1, Node: n.self.Name}
	n.mu.Unlock()
	charter := newCharter(founders)
	responses, ok := n.requestAll(founders, &rpc.BootstrapRequest{Step: stepPrepare, Term: term, From: n.self})
	var newest ids.Term
	for _, response := range responses {
		if response.Charter != nil && newest.Less(response.Charter.Term) {
			newest, charter = response.Charter.Term, response.Charter
		}
		n.raiseBootstrapTerm(response.CurrentTerm)
	}
	if !ok {
		return
	}
	if hasNewMemberID(charter.Members, founders) {
		// A founder lost its disk before the charter opened. All founders have promised
		// now, none of them has it open, and none takes part in anything while it is not:
		// nothing can have been written under it.
		charter = newCharter(founders)
	}
	charter.Term = term
	if _, ok := n.requestAll(charter.Members, &rpc.BootstrapRequest{Step: stepAccept, Term: term, Charter: charter, From: n.self}); !ok {
		return
	}
	opened := *charter
	opened.Open = true
	// A founder that misses this joins later, by the charter of another.
	n.requestAll(charter.Members, &rpc.BootstrapRequest{Step: stepOpen, Term: term, Charter: &opened, From: n.self})
}

func newCharter(founders []rpc.Member) *rpc.Charter {
	return &rpc.Charter{Fleet: ids.NewID(), Members: founders, ShardCount: ids.ShardCount}
}

// raiseBootstrapTerm notes a number that the next proposal must exceed.
func (n *Node) raiseBootstrapTerm(term ids.Term) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.bootstrapTerm.Number = max(n.bootstrapTerm.Number, term.Number)
}

// hasNewMemberID tells whether two lists name the same nodes, of which one at least has
// another member id now.
func hasNewMemberID(members, founders []rpc.Member) bool {
	known := map[ids.NodeName]ids.MemberID{}
	for _, m := range members {
		known[m.Name] = m.ID
	}
	differs := false
	for _, m := range founders {
		id, ok := known[m.Name]
		if !ok {
			return false
		}
		differs = differs || id != m.ID
	}
	return differs && len(members) == len(founders)
}

// requestAll takes one step with all founders, this node among them, and tells whether
// every one accepted.
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

// handleBootstrap answers a step of bootstrap. A step that is below what was promised, or
// that comes when a charter is open, is not accepted; the charter here is answered.
func (n *Node) handleBootstrap(request *rpc.BootstrapRequest) (*rpc.BootstrapResponse, error) {
	n.mu.Lock()
	response := &rpc.BootstrapResponse{From: n.self, CurrentTerm: n.bootstrapTerm, Charter: n.charter}
	isOpen := n.charter != nil && n.charter.Open
	isLower := request.Term.Less(n.bootstrapTerm)
	n.mu.Unlock()
	if request.Step != stepPrepare && request.Charter == nil {
		return nil, errcode.New(errcode.InvalidMessage, "no charter in step %q", request.Step)
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
		return nil, errcode.New(errcode.InvalidMessage, "no step %q", request.Step)
	}
	response.Accepted, response.CurrentTerm = true, request.Term
	return response, nil
}

// putBootstrapTerm promises a term, and returns when that is synced.
func (n *Node) putBootstrapTerm(term ids.Term) error {
	n.mu.Lock()
	n.bootstrapTerm = term
	n.mu.Unlock()
	batch := n.store.NewBatch()
	batch.Put(bootstrapTermKey, encodeRecord(term))
	n.store.Submit(batch)
	return batch.Wait()
}

// putCharter accepts a charter, returns when it is synced, and, if it is open, enters the
// cluster.
func (n *Node) putCharter(charter *rpc.Charter, term ids.Term) error {
	n.mu.Lock()
	if n.charter != nil && n.charter.Open {
		n.mu.Unlock()
		return nil
	}
	if term.Less(n.bootstrapTerm) && !charter.Open {
		n.mu.Unlock()
		return errcode.New(errcode.NotLeader, "a higher term of bootstrap was promised")
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

// enterCluster gives every shard its first voters and tells the members of the cluster.
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

// Charter returns the cluster's charter, or nil while it is not open here.
func (n *Node) Charter() *rpc.Charter {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.charter == nil || !n.charter.Open {
		return nil
	}
	return n.charter
}

// clusterID returns the cluster's id, empty before the charter is open here.
func (n *Node) clusterID() string {
	if charter := n.Charter(); charter != nil {
		return charter.Fleet
	}
	return ""
}

// handleCharter answers a node that seeks a cluster to join.
func (n *Node) handleCharter(*struct{}) (*rpc.Charter, error) {
	if charter := n.Charter(); charter != nil {
		return charter, nil
	}
	return nil, errcode.New(errcode.NoLeader, "no charter here")
}
