package consensus

import (
	"time"

	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// TraceKind is what a Trace tells of.
type TraceKind string

// The steps of a part that a checker can follow.
const (
	TraceTermRaised TraceKind = "raised"    // the member takes nothing below Term any more; not synced yet
	TraceVoted      TraceKind = "promised"  // Term is promised, and synced
	TraceElected    TraceKind = "elected"   // Granted made the member the owner under Term
	TraceCommitted  TraceKind = "committed" // the entry at Index, of EntryTerm, is committed here
	TraceRead       TraceKind = "read"      // a read that began at Since may be answered up to Index
)

// TraceEvent is one step of one part on one member. The simulator holds these steps
// against the invariants of the protocol; in a running node nobody listens.
type TraceEvent struct {
	Kind               TraceKind
	Shard              ids.Shard
	Member             rpc.Peer
	Term               ids.Term
	Index              ids.Index
	EntryTerm          ids.Term
	IsLeader           bool
	IsMembershipChange bool // the entry names voters
	Voters             Voters
	Granted            []rpc.Peer
	Since              time.Time
	// TermAt is the term of the entry at an index of the new owner's log; false if
	// the entry lies below its snapshot. It is called at once only.
	TermAt func(ids.Index) (ids.Term, bool)
}

// CharterEvent is a charter that a node has synced, accepted or open.
type CharterEvent struct{ IsOpen bool }

// trace tells a listener of a step; the part is locked or its step is over.
func (r *Replica) trace(step TraceEvent) {
	if r.node.env.Trace == nil {
		return
	}
	step.Shard, step.Member = r.shard, r.node.self
	r.node.env.Trace(step)
}
