package coordination

import (
	"context"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// maxEventsPerResponse bounds the events of one response; the next call gets the rest.
const maxEventsPerResponse = 256

// watch is a long poll for the events of every kind under a prefix, by the indexes of the
// shard's log. A watch from index zero gets the keys as they are, and the index to watch from.
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

// follow is a long poll for the sets in a space, by the space's revisions. A follower from
// revision zero gets the revision to follow from.
func (s *shard) follow(ctx context.Context, _ ids.Term, request *rpc.CoordinationRequest) (*rpc.CoordinationResponse, error) {
	return s.longPoll(ctx, request.Wait, func() (*rpc.CoordinationResponse, bool) {
		events, revision, complete := s.store.RevisionsSince(spaceOf(request.Name), request.FromIndex, maxEventsPerResponse)
		if !complete {
			return &rpc.CoordinationResponse{Code: errcode.RevisionCompacted.Number, Revision: revision}, true
		}
		return &rpc.CoordinationResponse{Revision: revision, Events: events}, len(events) > 0 || request.FromIndex == 0
	})
}

// longPoll returns the first response that poll calls ready, or the last one once the wait
// of so many milliseconds is over or the caller has gone. It polls at each change of the
// shard, and ends when this node does not lead the shard any more.
func (s *shard) longPoll(ctx context.Context, wait int64, poll func() (response *rpc.CoordinationResponse, ready bool)) (*rpc.CoordinationResponse, error) {
	due := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for {
		changed := s.replica.Changed() // before poll, so that no change falls in between
		response, ready := poll()
		if ready {
			return response, nil
		}
		if !s.replica.IsServing() {
			return nil, errcode.New(errcode.NotLeader, "shard %d changed its leader", s.id)
		}
		if isChanged, err := environment.WaitUntil(ctx, due, changed); err != nil || !isChanged {
			return response, nil
		}
	}
}
