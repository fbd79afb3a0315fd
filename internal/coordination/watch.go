package coordination

import (
	"context"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// maxEventsPerResponse limits the events in one response. Later requests return the others.
const maxEventsPerResponse = 256

// watch is a long poll for events of every kind whose names have a prefix. Its position is an
// index of the shard's log. A watch from index zero returns the current keys and the index to
// watch from.
func (s *shard) watch(ctx context.Context, term ids.Term, request *rpc.CoordinationRequest) (*rpc.CoordinationResponse, error) {
	if request.FromIndex == 0 {
		return s.list(ctx, term, request)
	}
	return s.longPoll(ctx, request.Wait, func() (*rpc.CoordinationResponse, bool) {
		events, next, complete := s.store.EventsSince(request.Name, request.FromIndex, maxEventsPerResponse)
		if !complete {
			return &rpc.CoordinationResponse{Code: errcode.RevisionCompacted.Number, Index: next}, true
		}
		return &rpc.CoordinationResponse{Index: next, Events: events}, len(events) > 0
	})
}

// follow is a long poll for the sets in a space. Its position is a revision of the space. A
// request from revision zero returns the revision to follow from.
func (s *shard) follow(ctx context.Context, _ ids.Term, request *rpc.CoordinationRequest) (*rpc.CoordinationResponse, error) {
	return s.longPoll(ctx, request.Wait, func() (*rpc.CoordinationResponse, bool) {
		events, revision, complete := s.store.RevisionsSince(spaceOf(request.Name), request.FromIndex, maxEventsPerResponse)
		if !complete {
			return &rpc.CoordinationResponse{Code: errcode.RevisionCompacted.Number, Revision: revision}, true
		}
		return &rpc.CoordinationResponse{Revision: revision, Events: events}, len(events) > 0 || request.FromIndex == 0
	})
}

// longPoll calls poll at the start and after each change of the shard. It returns the first
// response that is ready, or the last response when wait milliseconds have passed or ctx is
// done. It returns NotLeader if this node no longer leads the shard.
func (s *shard) longPoll(ctx context.Context, wait int64, poll func() (response *rpc.CoordinationResponse, ready bool)) (*rpc.CoordinationResponse, error) {
	deadline := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for {
		changed := s.replica.Changed() // before poll, so that no change is missed
		response, ready := poll()
		if ready {
			return response, nil
		}
		if !s.replica.IsServing() {
			return nil, errcode.New(errcode.NotLeader, "shard %d: the leader changed", s.id)
		}
		if isChanged, err := environment.WaitUntil(ctx, deadline, changed); err != nil || !isChanged {
			return response, nil
		}
	}
}
