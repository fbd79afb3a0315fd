package model

import (
	"flag"
	"testing"
)

var deep = flag.Int("deep", 0, "states to walk in the deep exploration; 0 leaves it out")

// inCI is the fixed part that runs with the tests.
var inCI = []struct {
	rules Rules
	scope Scope
}{
	{Rules{}, Scope{Members: 3, Rounds: 2, Writes: 1, Restarts: 1, States: 300_000}},
	{Rules{}, Scope{Members: 4, Rounds: 3, Writes: 1, Changes: 1, Wipes: 1, States: 150_000}},
	// The way that was weighed against the joint step: safe, but it leaves two
	// members when the owner dies half way.
	{Rules{SingleSteps: true}, Scope{Members: 4, Rounds: 3, Writes: 1, Changes: 2, States: 150_000}},
}

// faults is each rule taken out, the scope that shows it, and what it breaks.
var faults = []struct {
	name  string
	rules Rules
	scope Scope
	want  []string
}{
	{"the protocol before the mend", Rules{SingleSteps: true, OwnGroupIsEnough: true}, Scope{Members: 4, Rounds: 3, Writes: 1, Changes: 2}, []string{AckedLost}},
	{"own group is enough", Rules{OwnGroupIsEnough: true}, Scope{Members: 4, Rounds: 3, Writes: 1, Changes: 1}, []string{AckedLost, CommittedDiffer, ReadIsOld}},
	{"own log is kept", Rules{OwnLogIsKept: true}, Scope{Members: 3, Rounds: 2, Writes: 1}, []string{AckedLost}},
	{"an empty disk has a vote", Rules{WipedMayVote: true}, Scope{Members: 3, Rounds: 2, Writes: 1, Wipes: 1}, []string{AckedLost, ReadIsOld}},
	{"an old term's entry commits", Rules{OldTermCommits: true}, Scope{Members: 3, Rounds: 4, Writes: 2}, []string{AckedLost, CommittedDiffer}},
	{"a change on a change", Rules{ChangeOnChange: true}, Scope{Members: 5, Rounds: 2, Writes: 1, Changes: 2}, []string{GroupsDontMeet, AckedLost}},
	{"no joint step", Rules{JumpToNewGroup: true}, Scope{Members: 4, Rounds: 2, Writes: 1, Changes: 1}, []string{GroupsDontMeet}},
	{"reads without a majority's word", Rules{ReadsUnconfirmed: true}, Scope{Members: 3, Rounds: 2, Writes: 1}, []string{ReadIsOld}},
	{"a promise is forgotten", Rules{PromiseIsForgot: true}, Scope{Members: 3, Rounds: 2, Writes: 1, Restarts: 1}, []string{ReadIsOld, AckedLost, CommittedDiffer}},
	{"entries below the promised term", Rules{AppendBelowTerm: true}, Scope{Members: 3, Rounds: 2, Writes: 1}, []string{CommittedDiffer, AckedLost, ReadIsOld}},
	{"commit before sync", Rules{CommitBeforeSync: true}, Scope{Members: 3, Rounds: 2, Writes: 1}, []string{AckedLost}},
	{"a commit is copied", Rules{CommitIsCopied: true}, Scope{Members: 3, Rounds: 2, Writes: 1}, []string{CommitWentDown}},
	{"entries without a promise", Rules{AppendNoPromise: true}, Scope{Members: 3, Rounds: 2, Writes: 1}, []string{EntryAbovePledge}},
	{"terms have no names", Rules{TermsHaveNoNames: true, PromiseIsForgot: true}, Scope{Members: 3, Rounds: 2, Restarts: 1}, []string{OwnersOfOneTerm}},
	{"learners are voters", Rules{LearnersAreVoters: true}, Scope{Members: 4, Rounds: 2, Writes: 1}, []string{AckedLost, ReadIsOld}},
}

func TestExplore_ProtocolKeepsInvariants(t *testing.T) {
	for _, part := range inCI {
		result := Explore(part.rules, part.scope)
		if result.Breach != nil {
			t.Fatal(result.Breach)
		}
		t.Logf("%+v: %d states, depth %d, complete: %v", part.scope, result.States, result.Depth, result.IsComplete)
	}
}

// TestExplore_EachSafeguardIsNeeded takes the safeguards out one at a time; the model
// proves nothing where it can't tell.
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
		{Members: 3, Rounds: 4, Writes: 2, Restarts: 1},
		{Members: 4, Rounds: 3, Writes: 1, Changes: 1, Wipes: 1},
		{Members: 4, Rounds: 3, Writes: 1, Changes: 2},
		{Members: 5, Rounds: 3, Writes: 1, Changes: 2, Wipes: 1},
	} {
		scope.States = *deep
		result := Explore(Rules{}, scope)
		t.Logf("%+v: %d states, depth %d, complete: %v", scope, result.States, result.Depth, result.IsComplete)
		if result.Breach != nil {
			t.Error(result.Breach)
		}
	}
}
