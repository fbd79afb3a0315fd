package consensus

import (
	"errors"
	"testing"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
)

// Entries proposed while a member catches up would keep it from ever having the whole log.
func TestReplica_TransferringLeaderRejectsProposals(t *testing.T) {
	runReplicaTest(t, func(t *testing.T, r *Replica, _ *recordingMachine) {
		appendTwoEntries(t, r)
		r.leadership.isLeader, r.leadership.isServing = true, true
		if _, _, err := r.appendProposal(anyTerm, command(`1`)); err != nil {
			t.Fatal(err)
		}
		r.stopProposals()
		if _, _, err := r.appendProposal(anyTerm, command(`2`)); !errors.Is(err, errcode.NotLeader) {
			t.Error("a proposal during a leadership transfer was not rejected with NotLeader:", err)
		}
	})
}
