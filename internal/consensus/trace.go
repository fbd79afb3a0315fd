package consensus

import (
	"time"

	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// TraceKind is the kind of a TraceEvent.
type TraceKind string

// The steps of a replica that a checker can follow.
const (
	TraceTermRaised TraceKind = "raised"    // the member rejects everything below Term from now on; not synced yet
	TraceVoted      TraceKind = "promised"  // the member voted for Term and has synced that
	TraceElected    TraceKind = "elected"   // the votes of Granted made the member the leader of Term
	TraceCommitted  TraceKind = "committed" // the entry at Index, of EntryTerm, is committed here
	TraceRead       TraceKind = "read"      // a read that began at Since may be answered up to Index
)

// TraceEvent is one step of one replica. The simulator checks these steps against the
// invariants of package model; in a running node nobody listens.
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
	// TermAt returns the term of an entry of the new leader's log; false if the entry is
	// below its snapshot. It is valid only during the call.
	TermAt func(ids.Index) (ids.Term, bool)
}

// CharterEvent tells that a node has synced a charter, accepted or open.
type CharterEvent struct{ IsOpen bool }

// trace tells the listener, if there is one, of a step.
func (r *Replica) trace(step TraceEvent) {
	if r.node.env.Trace == nil {
		return
	}
	step.Shard, step.Member = r.shard, r.node.self
	r.node.env.Trace(step)
}
