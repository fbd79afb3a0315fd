package model

import (
	"flag"
	"fmt"
	"testing"
)

var deep = flag.Int("deep", 0, "states to walk in the deep exploration; 0 leaves it out")

// regularScopes is the fixed part that runs with the tests.
var regularScopes = []struct {
	rules Rules
	scope Scope
}{
	{Rules{}, Scope{Members: 3, Terms: 2, Writes: 1, Restarts: 1, States: 300_000}},
	{Rules{}, Scope{Members: 4, Terms: 3, Writes: 1, Changes: 1, Wipes: 1, States: 150_000}},
	// The alternative to the joint step: safe, but it leaves two voters when the leader
	// dies half way.
	{Rules{SingleSteps: true}, Scope{Members: 4, Terms: 3, Writes: 1, Changes: 2, States: 150_000}},
}

// faults is each safeguard taken out, the scope that shows it, and the invariants of which
// one must be broken.
var faults = []struct {
	name  string
	rules Rules
	scope Scope
	want  []string
}{
	{"single steps, own voters suffice", Rules{SingleSteps: true, OwnVotersSuffice: true}, Scope{Members: 4, Terms: 3, Writes: 1, Changes: 2}, []string{AcknowledgedEntryLost}},
	{"own voters suffice", Rules{OwnVotersSuffice: true}, Scope{Members: 4, Terms: 3, Writes: 1, Changes: 1}, []string{AcknowledgedEntryLost, CommittedEntriesDiffer, StaleRead}},
	{"own log is kept", Rules{KeepOwnLog: true}, Scope{Members: 3, Terms: 2, Writes: 1}, []string{AcknowledgedEntryLost}},
	{"an empty disk has a vote", Rules{WipedMembersVote: true}, Scope{Members: 3, Terms: 2, Writes: 1, Wipes: 1}, []string{AcknowledgedEntryLost, StaleRead}},
	{"an old term's entry commits", Rules{CommitOldTerms: true}, Scope{Members: 3, Terms: 4, Writes: 2}, []string{AcknowledgedEntryLost, CommittedEntriesDiffer}},
	{"a change on a change", Rules{ChangeOnChange: true}, Scope{Members: 5, Terms: 2, Writes: 1, Changes: 2}, []string{QuorumsDisjoint, AcknowledgedEntryLost}},
	{"no joint step", Rules{SkipJointStep: true}, Scope{Members: 4, Terms: 2, Writes: 1, Changes: 1}, []string{QuorumsDisjoint}},
	{"reads without confirmation", Rules{UnconfirmedReads: true}, Scope{Members: 3, Terms: 2, Writes: 1}, []string{StaleRead}},
	{"a vote is forgotten", Rules{ForgetVotes: true}, Scope{Members: 3, Terms: 2, Writes: 1, Restarts: 1}, []string{StaleRead, AcknowledgedEntryLost, CommittedEntriesDiffer}},
	{"entries below the current term", Rules{AcceptStaleTerms: true}, Scope{Members: 3, Terms: 2, Writes: 1}, []string{CommittedEntriesDiffer, AcknowledgedEntryLost, StaleRead}},
	{"commit before sync", Rules{CommitBeforeSync: true}, Scope{Members: 3, Terms: 2, Writes: 1}, []string{AcknowledgedEntryLost}},
	{"a commit index is copied", Rules{CopyCommit: true}, Scope{Members: 3, Terms: 2, Writes: 1}, []string{CommitDecreased}},
	{"entries without their term", Rules{AppendWithoutTerm: true}, Scope{Members: 3, Terms: 2, Writes: 1}, []string{EntryAboveCurrentTerm}},
	{"terms without node", Rules{TermsWithoutNode: true, ForgetVotes: true}, Scope{Members: 3, Terms: 2, Restarts: 1}, []string{TwoLeadersInTerm}},
	{"learners vote", Rules{LearnersVote: true}, Scope{Members: 4, Terms: 2, Writes: 1}, []string{AcknowledgedEntryLost, StaleRead}},
}

func TestExplore_ProtocolKeepsInvariants(t *testing.T) {
	for _, test := range regularScopes {
		t.Run(fmt.Sprintf("%+v", test.scope), func(t *testing.T) {
			result := Explore(test.rules, test.scope)
			if result.Breach != nil {
				t.Fatal(result.Breach)
			}
			t.Logf("%d states, depth %d, complete: %v", result.States, result.Depth, result.IsComplete)
		})
	}
}

// TestExplore_EachSafeguardIsNeeded takes the safeguards out one at a time: a model that
// misses their absence proves nothing.
func TestExplore_EachSafeguardIsNeeded(t *testing.T) {
	for _, fault := range faults {
		t.Run(fault.name, func(t *testing.T) {
			t.Parallel()
			fault.scope.States = 3_000_000
			result := Explore(fault.rules, fault.scope)
			if result.Breach == nil {
				t.Fatalf("nothing is broken in %d states (complete: %v)", result.States, result.IsComplete)
			}
			t.Logf("%d states: %v", result.States, result.Breach)
			for _, want := range fault.want {
				if result.Breach.Invariant == want {
					return
				}
			}
			t.Errorf("broke %q, not one of %q", result.Breach.Invariant, fault.want)
		})
	}
}

// TestExplore_Deep is the long walk, by command:
//
//	go test ./internal/consensus/model -run Deep -deep 20000000 -v -timeout 1h
func TestExplore_Deep(t *testing.T) {
	if *deep == 0 {
		t.Skip("give -deep")
	}
	for _, scope := range []Scope{
		{Members: 3, Terms: 4, Writes: 2, Restarts: 1},
		{Members: 4, Terms: 3, Writes: 1, Changes: 1, Wipes: 1},
		{Members: 4, Terms: 3, Writes: 1, Changes: 2},
		{Members: 5, Terms: 3, Writes: 1, Changes: 2, Wipes: 1},
	} {
		scope.States = *deep
		result := Explore(Rules{}, scope)
		t.Logf("%+v: %d states, depth %d, complete: %v", scope, result.States, result.Depth, result.IsComplete)
		if result.Breach != nil {
			t.Error(result.Breach)
		}
	}
}
