// Package controlplane turns the operators' change sets and the heartbeats of servers
// into epochs: complete, numbered versions of everything that a proxy needs in order to
// route requests. It has four parts.
//
//   - ConfigState is the state machine of the configuration shard. Each entry of that
//     shard's log is one epoch, encoded as its difference from the previous epoch.
//     EpochState is one epoch and is immutable.
//   - Change sets: EpochState.CheckPrecondition decides whether a change set still applies
//     to the current epoch. MergeChange merges it into the current configuration and
//     validates the result as a whole before anything is proposed.
//   - TargetRegistry runs at the leader of each data shard. It keeps, in memory, the last
//     heartbeat of every target (server instance) of the shard's services. Only the states
//     draining and leaving are committed to the shard's log.
//   - Planner runs at the leader of the configuration shard. It collects the reports of all
//     registries, resolves address conflicts, and commits a new epoch when one is needed.
//
// Messages between nodes contain ages instead of wall-clock times. Each age is measured on
// the monotonic clock of the node that sends it.
package controlplane
