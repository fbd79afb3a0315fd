package coordination

import (
	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/eventlog"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// logAcquired logs that a lock was granted, or acquired again by its holder. The index of the
// event is that of the log entry, so events of several leaders can be ordered by it.
func (s *shard) logAcquired(request *rpc.CoordinationRequest, granted *rpc.CoordinationResponse) {
	event := eventlog.LockGranted
	if granted.Index != granted.FencingToken {
		event = eventlog.LockReacquired
	}
	s.logLock(event, request.Name, "holder", granted.Holder, "fence", uint64(granted.FencingToken), "index", uint64(granted.Index), "ttl_ms", granted.TTL)
}

// logRelease logs the result of a release.
func (s *shard) logRelease(request *rpc.CoordinationRequest, response *rpc.CoordinationResponse) {
	event := eventlog.LockReleased
	switch response.Code {
	case 0:
	case errcode.LockReacquired.Number:
		event = eventlog.LockReleaseIgnored
	default:
		return
	}
	s.logLock(event, request.Name, "holder", request.Holder, "fence", uint64(request.FencingToken), "index", uint64(response.Index))
}

// logLock logs an event of a lock, if the log's level includes it.
func (s *shard) logLock(event eventlog.Event, name string, fields ...any) {
	if s.env.Events.Writes(event) {
		s.env.Events.Emit(event, append([]any{"shard", int(s.id), "lock", name}, fields...)...)
	}
}
