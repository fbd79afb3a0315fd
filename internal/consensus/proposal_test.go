package consensus

import (
	"errors"
	"testing"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/ids"
)

// Guards against a leader that revokes a lock in a later term than the one in which it saw the lease
// expire: another leader may have renewed the lease in between.
func TestReplica_ProposalForAnotherTermIsRejected(t *testing.T) {
	runReplicaTest(t, func(t *testing.T, r *Replica, _ *recordingMachine) {
		appendTwoEntries(t, r)
		r.leadership.isLeader, r.leadership.isServing = true, true
		earlier := ids.Term{Number: r.currentTerm.Number - 1, Node: r.currentTerm.Node}
		for _, test := range []struct {
			term     ids.Term
			isLeader bool
			want     bool
		}{
			{r.currentTerm, true, true},
			{anyTerm, true, true},
			{earlier, true, false},
			{r.currentTerm, false, false},
		} {
			r.leadership.isServing = test.isLeader
			before, _ := r.log.last()
			_, _, err := r.appendProposal(test.term, command(`1`))
			after, _ := r.log.last()
			if isAppended := after > before; isAppended != test.want || !test.want && !errors.Is(err, errcode.NotLeader) {
				t.Errorf("proposal for term %s in term %s, serving %v: appended %v, %v", test.term, r.currentTerm, test.isLeader, isAppended, err)
			}
		}
	})
}
