// Calls that are held until something happens: a watch goes by the part's own
// stamps and sees every kind under a prefix; a follow goes by a space's count and
// sees what was set there.
package coordination

import (
	"context"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/consensus"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// watch holds the call until something under the name happens.
func (d *Service) watch(ctx context.Context, part *consensus.Replica, book *Store, op *rpc.CoordinationRequest) (*rpc.CoordinationResponse, error) {
	if op.FromIndex == 0 {
		keys, stamp := book.List(KindKey, op.Name)
		return &rpc.CoordinationResponse{Index: stamp, Records: keys}, nil
	}
	hold := time.NewTimer(time.Duration(op.Wait) * time.Millisecond)
	defer hold.Stop()
	for {
		change := part.Changed()
		events, next, isKept := book.EventsSince(op.Name, op.FromIndex, 256)
		if !isKept {
			return &rpc.CoordinationResponse{Code: errcode.StampTooOld.No, Index: next}, nil
		}
		if len(events) > 0 {
			return &rpc.CoordinationResponse{Index: next, Events: events}, nil
		}
		if !part.IsServing() {
			return nil, errcode.New(errcode.NotOwner, "part changed its owner")
		}
		select {
		case <-change:
		case <-hold.C:
			return &rpc.CoordinationResponse{Index: next}, nil
		case <-ctx.Done():
			return &rpc.CoordinationResponse{Index: next}, nil
		}
	}
}

// follow holds the call until something is set in the space.
func (d *Service) follow(ctx context.Context, part *consensus.Replica, book *Store, op *rpc.CoordinationRequest) (*rpc.CoordinationResponse, error) {
	hold := time.NewTimer(time.Duration(op.Wait) * time.Millisecond)
	defer hold.Stop()
	for {
		change := part.Changed()
		events, rev, isKept := book.RevisionsSince(spaceOf(op.Name), op.FromIndex, 256)
		if !isKept {
			return &rpc.CoordinationResponse{Code: errcode.StampTooOld.No, Revision: rev}, nil
		}
		if len(events) > 0 || op.FromIndex == 0 {
			return &rpc.CoordinationResponse{Revision: rev, Events: events}, nil
		}
		if !part.IsServing() {
			return nil, errcode.New(errcode.NotOwner, "part changed its owner")
		}
		select {
		case <-change:
		case <-hold.C:
			return &rpc.CoordinationResponse{Revision: rev}, nil
		case <-ctx.Done():
			return &rpc.CoordinationResponse{Revision: rev}, nil
		}
	}
}
