// Founding: only when the founding number of distinct empty core nodes have
// seen one another does the first of them propose a charter. All of them must
// promise, accept and sync it before it opens, so no two charters can ever
// open; a later proposer carries on the newest charter it finds. Where an open
// charter exists, an empty node takes it over and never founds.
package consensus

import (
	"context"
	"encoding/json"
	"sort"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/eventlog"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

const bootstrapTimeout = 2 * time.Second

// bootstrap joins a fleet if there is one, or tries to found it.
func (n *Node) bootstrap() {
	cores := n.members.CoreMembers()
	for _, m := range cores {
		if m.Fleet == "" || m.Name == n.env.Name {
			continue
		}
		ctx, end := context.WithTimeout(n.env, bootstrapTimeout)
		var charter rpc.Charter
		err := n.transport.Call(ctx, m.RPCAddress, "pact.charter", struct{}{}, &charter)
		end()
		if err == nil && charter.Open && n.putCharter(&charter, charter.Term) == nil {
			n.log(eventlog.FleetJoined, "fleet", charter.Fleet)
			return
		}
	}
	self := n.members.Self()
	sort.Slice(cores, func(i, j int) bool { return cores[i].Name < cores[j].Name })
	var founders []rpc.Member
	for _, m := range cores {
		if m.Fleet != "" {
			return
		}
		if m.Founders == self.Founders && len(founders) < self.Founders {
			founders = append(founders, m)
		}
	}
	if self.Founders == 0 || len(founders) < self.Founders || founders[0].Name != self.Name {
		return
	}
	n.proposeCharter(founders)
}

// proposeCharter runs one round of founding with all founders.
func (n *Node) proposeCharter(founders []rpc.Member) {
	n.mu.Lock()
	term := ids.Term{Number: n.bootstrapTerm.Number + 1, Node: n.self.Name}
	n.mu.Unlock()
	charter := &rpc.Charter{Fleet: ids.NewID(), Members: founders, ShardCount: ids.ShardCount}
	responses, ok := n.requestAll(founders, &rpc.BootstrapRequest{Step: "promise", Term: term, From: n.self})
	var newest ids.Term
	for _, response := range responses {
		if response.Charter != nil && newest.Less(response.Charter.Term) {
			newest, charter = response.Charter.Term, response.Charter
		}
		n.mu.Lock()
		if n.bootstrapTerm.Number < response.CurrentTerm.Number {
			n.bootstrapTerm = ids.Term{Number: response.CurrentTerm.Number, Node: n.bootstrapTerm.Node}
		}
		n.mu.Unlock()
	}
	if !ok {
		return
	}
	if hasNewMemberID(charter.Members, founders) {
		// A founder lost its disk before the charter opened. All founders have promised
		// now, none of them has it open, and none takes part in anything while it is not:
		// nothing can have been written under it.
		charter = &rpc.Charter{Fleet: ids.NewID(), Members: founders, ShardCount: ids.ShardCount}
	}
	charter.Term = term
	if _, ok := n.requestAll(charter.Members, &rpc.BootstrapRequest{Step: "accept", Term: term, Charter: charter, From: n.self}); !ok {
		return
	}
	opened := *charter
	opened.Open = true
	n.requestAll(charter.Members, &rpc.BootstrapRequest{Step: "open", Term: term, Charter: &opened, From: n.self})
}

// hasNewMemberID tells whether two lists name the same nodes, of which one at least has
// another birth now.
func hasNewMemberID(members, founders []rpc.Member) bool {
	ids := map[ids.NodeName]ids.MemberID{}
	for _, m := range members {
		ids[m.Name] = m.ID
	}
	differs := false
	for _, m := range founders {
		id, isThere := ids[m.Name]
		if !isThere {
			return false
		}
		differs = differs || id != m.ID
	}
	return differs && len(members) == len(founders)
}

// requestAll is true only if every one agreed.
func (n *Node) requestAll(founders []rpc.Member, request *rpc.BootstrapRequest) ([]*rpc.BootstrapResponse, bool) {
	ctx, end := context.WithTimeout(n.env, bootstrapTimeout)
	defer end()
	type result struct {
		receipt *rpc.BootstrapResponse
		ok      bool
	}
	results := make(chan result, len(founders))
	for _, m := range founders {
		n.env.Go(func() {
			response := &rpc.BootstrapResponse{}
			var err error
			if m.Name == n.self.Name {
				response, err = n.handleBootstrap(request)
			} else {
				err = n.transport.Call(ctx, m.RPCAddress, "pact.found", request, response)
			}
			if err != nil {
				results <- result{}
				return
			}
			results <- result{response, response.Accepted && response.From.ID == m.ID}
		})
	}
	allAgreed := true
	var responses []*rpc.BootstrapResponse
	for range founders {
		got := <-results
		allAgreed = allAgreed && got.ok
		if got.receipt != nil {
			responses = append(responses, got.receipt)
		}
	}
	return responses, allAgreed
}

// handleBootstrap answers a step of founding.
func (n *Node) handleBootstrap(request *rpc.BootstrapRequest) (*rpc.BootstrapResponse, error) {
	n.mu.Lock()
	response := &rpc.BootstrapResponse{From: n.self, CurrentTerm: n.bootstrapTerm, Charter: n.charter}
	isOpen := n.charter != nil && n.charter.Open
	isLower := request.Term.Less(n.bootstrapTerm)
	n.mu.Unlock()
	if request.Step != "promise" && request.Charter == nil {
		return nil, errcode.New(errcode.BadMessage, "no charter in step %q", request.Step)
	}
	switch {
	case isOpen || isLower && request.Step != "open":
		return response, nil
	case request.Step == "promise":
		n.mu.Lock()
		n.bootstrapTerm = request.Term
		n.mu.Unlock()
		raw, _ := json.Marshal(request.Term)
		batch := n.store.NewBatch()
		batch.Put("pledge", raw)
		n.store.Submit(batch)
		if err := batch.Wait(); err != nil {
			return nil, err
		}
	case request.Step == "accept" || request.Step == "open":
		if err := n.putCharter(request.Charter, request.Term); err != nil {
			return nil, err
		}
		if request.Step == "open" {
			n.log(eventlog.FleetFounded, "fleet", request.Charter.Fleet, "members", len(request.Charter.Members))
		}
	default:
		return nil, errcode.New(errcode.BadMessage, "no step %q", request.Step)
	}
	response.Accepted, response.CurrentTerm = true, request.Term
	return response, nil
}

// putCharter syncs a charter and, if it is open, enters the fleet.
func (n *Node) putCharter(charter *rpc.Charter, term ids.Term) error {
	n.mu.Lock()
	if n.charter != nil && n.charter.Open {
		n.mu.Unlock()
		return nil
	}
	if term.Less(n.bootstrapTerm) && !charter.Open {
		n.mu.Unlock()
		return errcode.New(errcode.NotOwner, "a higher round of founding was promised")
	}
	n.charter, n.bootstrapTerm = charter, term
	raw, _ := json.Marshal(charter)
	batch := n.store.NewBatch()
	batch.Put("charter", raw)
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

// enterCluster shows the fleet to others and gives every part its first group.
func (n *Node) enterCluster(charter *rpc.Charter) {
	for _, r := range n.replicas {
		r.mu.Lock()
		if r.snapshot.Index == 0 && len(r.snapshot.Voters) == 0 {
			r.snapshot.Voters = SelectVoters(r.shard, charter.Members, r.node.env.Config.PactLosses)
			r.updateVoters()
		}
		r.electionTimerStart = r.node.env.Now()
		r.mu.Unlock()
	}
	n.members.UpdateSelf(func(m *rpc.Member) { m.Fleet = charter.Fleet })
	close(n.Bootstrapped)
}
