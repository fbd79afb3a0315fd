package model

import (
	"flag"
	"fmt"
	"testing"
)

var deep = flag.Int("deep", 0, "number of states to visit in TestExplore_Deep; 0 skips it")

// regularScopes are the scopes explored in every test run.
var regularScopes = []struct {
	rules Rules
	scope Scope
}{
	{Rules{}, Scope{Members: 3, Terms: 2, Writes: 1, Restarts: 1, States: 300_000}},
	{Rules{}, Scope{Members: 4, Terms: 3, Writes: 1, Changes: 1, Wipes: 1, States: 150_000}},
	// Single-server changes are safe too, but leave only two voters if the leader fails
	// between the two changes of a replacement.
	{Rules{SingleServerChanges: true}, Scope{Members: 4, Terms: 3, Writes: 1, Changes: 2, States: 150_000}},
}

// faults lists each removed safeguard, a scope in which its absence shows, and the invariants
// of which one must be violated.
var faults = []struct {
	name  string
	rules Rules
	scope Scope
	want  []string
}{
	{"single-server changes, own voters suffice", Rules{SingleServerChanges: true, OwnVotersSuffice: true}, Scope{Members: 4, Terms: 3, Writes: 1, Changes: 2}, []string{AcknowledgedEntryLost}},
	{"own voters suffice", Rules{OwnVotersSuffice: true}, Scope{Members: 4, Terms: 3, Writes: 1, Changes: 1}, []string{AcknowledgedEntryLost, CommittedEntriesDiffer, StaleRead}},
	{"new leader keeps its own log", Rules{KeepOwnLog: true}, Scope{Members: 3, Terms: 2, Writes: 1}, []string{AcknowledgedEntryLost}},
	{"member votes after losing its disk", Rules{WipedMembersVote: true}, Scope{Members: 3, Terms: 2, Writes: 1, Wipes: 1}, []string{AcknowledgedEntryLost, StaleRead}},
	{"entries of old terms are committed by counting", Rules{CommitOldTerms: true}, Scope{Members: 3, Terms: 4, Writes: 2}, []string{AcknowledgedEntryLost, CommittedEntriesDiffer}},
	{"overlapping membership changes", Rules{OverlappingChanges: true}, Scope{Members: 5, Terms: 2, Writes: 1, Changes: 2}, []string{QuorumsDisjoint, AcknowledgedEntryLost}},
	{"no joint step", Rules{SkipJointStep: true}, Scope{Members: 4, Terms: 2, Writes: 1, Changes: 1}, []string{QuorumsDisjoint}},
	{"reads without confirmation", Rules{UnconfirmedReads: true}, Scope{Members: 3, Terms: 2, Writes: 1}, []string{StaleRead}},
	{"restart forgets a vote", Rules{ForgetVotes: true}, Scope{Members: 3, Terms: 2, Writes: 1, Restarts: 1}, []string{StaleRead, AcknowledgedEntryLost, CommittedEntriesDiffer}},
	{"entries of a stale term are accepted", Rules{AcceptStaleTerms: true}, Scope{Members: 3, Terms: 2, Writes: 1}, []string{CommittedEntriesDiffer, AcknowledgedEntryLost, StaleRead}},
	{"commit before sync", Rules{CommitBeforeSync: true}, Scope{Members: 3, Terms: 2, Writes: 1}, []string{AcknowledgedEntryLost}},
	{"commit index is copied", Rules{CopyCommitIndex: true}, Scope{Members: 3, Terms: 2, Writes: 1}, []string{CommitDecreased}},
	{"entries are accepted without raising the term", Rules{AppendWithoutTerm: true}, Scope{Members: 3, Terms: 2, Writes: 1}, []string{EntryAboveCurrentTerm}},
	{"terms without node name", Rules{TermsWithoutNode: true, ForgetVotes: true}, Scope{Members: 3, Terms: 2, Restarts: 1}, []string{TwoLeadersInTerm}},
	{"learners vote", Rules{LearnersVote: true}, Scope{Members: 4, Terms: 2, Writes: 1}, []string{AcknowledgedEntryLost, StaleRead}},
}

func TestExplore_ProtocolKeepsInvariants(t *testing.T) {
	for _, test := range regularScopes {
		t.Run(fmt.Sprintf("%+v", test.scope), func(t *testing.T) {
			result := Explore(test.rules, test.scope)
			if result.Violation != nil {
				t.Fatal(result.Violation)
			}
			t.Logf("%d states, depth %d, complete: %v", result.States, result.Depth, result.IsComplete)
		})
	}
}

// TestExplore_EachSafeguardIsNeeded removes the safeguards one at a time and requires that the
// exploration finds a violation; otherwise the model would prove nothing about them.
func TestExplore_EachSafeguardIsNeeded(t *testing.T) {
	for _, fault := range faults {
		t.Run(fault.name, func(t *testing.T) {
			t.Parallel()
			fault.scope.States = 3_000_000
			result := Explore(fault.rules, fault.scope)
			if result.Violation == nil {
				t.Fatalf("no invariant violated in %d states (complete: %v)", result.States, result.IsComplete)
			}
			t.Logf("%d states: %v", result.States, result.Violation)
			for _, want := range fault.want {
				if result.Violation.Invariant == want {
					return
				}
			}
			t.Errorf("violated %q, want one of %q", result.Violation.Invariant, fault.want)
		})
	}
}

// TestExplore_Deep explores larger scopes. It runs only on request:
//
//	go test ./internal/consensus/model -run Deep -deep 20000000 -v -timeout 1h
func TestExplore_Deep(t *testing.T) {
	if *deep == 0 {
		t.Skip("set -deep to run")
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
		if result.Violation != nil {
			t.Error(result.Violation)
		}
	}
}
