// Package coordination holds the primitives that applications coordinate by: locks and
// elections with fencing tokens, counters, keys with revisions, watches, and idempotency
// records for requests that must not run twice.
//
// A name belongs to the space that stands before its first slash, and a space lies in one
// shard. Each shard has two halves here:
//
//   - Store is the replicated state machine. It applies committed log entries in the same
//     way on every replica and knows no clock, apart from the retention of events.
//   - Service is the leader's half. It validates requests, confirms its leadership before a
//     read, runs the leases of locks on its monotonic clock, holds long polls open, and
//     proposes what has to be written.
//
// A request and a log entry share one message, rpc.CoordinationRequest; its Operation is one
// of the Op constants.
package coordination
