// Package consensus replicates each shard's state machine over a group of core nodes.
//
// The protocol is Raft (Ongaro and Ousterhout, "In Search of an Understandable
// Consensus Algorithm", 2014) with these differences:
//
//   - A term is a pair of number and node name, so no two candidates ever share a term.
//     A member's current term is its vote: the member persists it before it responds and
//     rejects all lower terms afterwards.
//   - A vote carries the entries of the voter's log that the candidate lacks. The
//     candidate adopts the most advanced log among a quorum of its votes, as in
//     Viewstamped Replication, so any voter can become leader.
//   - The voters change by joint consensus (section 6 of the Raft paper). A candidate
//     needs a quorum of the voters in the adopted log, not of those in its own log.
//   - A member is identified by its name and member id. The id is stored on disk, so a
//     node that lost its disk is a new member without a vote.
//   - Reads are confirmed by heartbeats (ReadIndex in section 6.4 of Ongaro's thesis),
//     never by a lease alone.
//   - Elections begin with a pre-vote (section 9.6 of the thesis).
//
// A Node holds one Replica for each shard. Each shard has its own log, voters and leader;
// shards are independent of one another. Package model checks the invariants listed in
// docs/topics/replication.md.
//
// A replica changes its memory when it submits a batch to the store, and the store syncs
// batches in the order of submission. A response is sent only after the batch it depends
// on has been synced.
package consensus
