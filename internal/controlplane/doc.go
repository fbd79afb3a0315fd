// Package controlplane turns the operators' change sets and the heartbeats of servers
// into epochs: complete, numbered versions of everything that a proxy needs in order to
// route requests. It has four parts.
//
//   - ConfigState is the state machine of the configuration shard. Every entry of that
//     shard's log is one epoch, written as the groups in which it differs from the epoch
//     before it. EpochState is one such epoch; it is never written to after it was made.
//   - A change set is merged into the configuration in force and validated as a whole
//     (MergeChange) before anything is proposed; EpochState.CheckPrecondition decides
//     whether it still applies.
//   - TargetRegistry runs at the leader of each data shard. It keeps, in memory, the last
//     heartbeat of every target (server instance) of the shard's services. Only draining
//     and leaving are committed to the shard's log.
//   - Planner runs at the leader of the configuration shard. It collects the reports of all
//     registries, resolves address conflicts, and commits a new epoch when one is needed.
//
// Ages, never wall-clock times, travel between nodes, each measured on the monotonic clock
// of the node that sends it.
package controlplane
