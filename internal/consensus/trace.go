package consensus

import (
	"time"

	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// TraceKind is the kind of a TraceEvent.
type TraceKind string

// Kinds of trace events.
const (
	TraceTermRaised TraceKind = "raised"    // the member raised its term to Term and rejects lower ones; not synced yet
	TraceVoted      TraceKind = "promised"  // the member synced its vote for Term
	TraceElected    TraceKind = "elected"   // the member became leader of Term by the votes of Granted
	TraceCommitted  TraceKind = "committed" // the member knows the entry at Index, of EntryTerm, as committed
	TraceRead       TraceKind = "read"      // a read that began at Since may be served from the state at Index
)

// TraceEvent is one step of one replica. The simulator checks these steps against the
// invariants of package model; production nodes set no trace function.
type TraceEvent struct {
	Kind               TraceKind
	Shard              ids.Shard
	Member             rpc.Peer
	Term               ids.Term
	Index              ids.Index
	EntryTerm          ids.Term
	IsLeader           bool
	IsMembershipChange bool // the entry changes the voters
	Voters             Voters
	Granted            []rpc.Peer
	Since              time.Time
	// TermAt returns the term of an entry of the new leader's log; false if the entry is
	// below its snapshot. It is valid only during the call.
	TermAt func(ids.Index) (ids.Term, bool)
}

// CharterEvent reports that a node has synced a charter, accepted or open.
type CharterEvent struct{ IsOpen bool }

// trace passes a step to the trace function, if one is set.
func (r *Replica) trace(step TraceEvent) {
	if r.node.env.Trace == nil {
		return
	}
	step.Shard, step.Member = r.shard, r.node.self
	r.node.env.Trace(step)
}
