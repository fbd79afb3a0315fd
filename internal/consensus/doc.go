// Package consensus replicates each shard's state machine over a group of core nodes.
//
// The protocol is Raft (Ongaro and Ousterhout, "In Search of an Understandable
// Consensus Algorithm", 2014) with these differences:
//
//   - A term is a pair of number and node name, so no two candidates ever share one.
//     A member's current term is its vote: it is persisted before it is answered, and
//     nothing below it is accepted afterwards.
//   - A vote carries what the candidate lacks of the voter's log. The candidate adopts
//     the most advanced log among a quorum of its votes, as in Viewstamped Replication,
//     so any voter may lead.
//   - The voters change by joint consensus (section 6 of the Raft paper). A candidate
//     needs a quorum of the voters that the adopted log names, not of those it knew.
//   - Members are identified by name and member id. The id lives on the disk, so a
//     member that lost its disk is another member, and has no vote.
//   - Reads are confirmed by heartbeats (ReadIndex in section 6.4 of Ongaro's thesis),
//     never by a lease alone.
//   - Elections begin with a pre-vote (section 9.6 of the thesis).
//
// A Node holds one Replica for each shard. Each shard has a log, voters and a leader of
// its own; no shard depends on another. Package model checks the invariants that
// docs/topics/replication.md lists.
//
// Memory is ahead of the disk only by the batches that were submitted to the store, in
// their order. Whatever is answered to others waits until its batch is synced.
package consensus
