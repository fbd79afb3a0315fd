// Package coordination provides coordination primitives for applications: locks and
// elections with fencing tokens, counters, keys with revisions, watches, and idempotency
// records for requests that must not run twice.
//
// The part of a name before its first slash is its space. All names of a space are in the
// same shard. Each shard is implemented by two types:
//
//   - Store is the replicated state machine. It applies committed log entries
//     deterministically on every replica. It uses the clock only for the retention of events.
//   - Service runs on the shard's leader. It validates requests, confirms its leadership
//     before reads, measures the leases of locks on its monotonic clock, serves long polls,
//     and proposes writes.
//
// Requests and log entries have the same type, rpc.CoordinationRequest, whose Operation is
// one of the Op constants.
package coordination
