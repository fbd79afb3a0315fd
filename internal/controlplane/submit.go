package controlplane

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/eventlog"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// stateAccepted is the state of a change set in its result.
const stateAccepted = "accepted"

// Submit accepts or refuses a change set as a whole. For a change set that was accepted before
// it returns the first result. The error is one of CheckPrecondition's, errcode.InvalidChange
// with the paths of the faults, errcode.NotLeader if this node does not lead the configuration
// shard, or errcode.ChangeUnknown if it is unknown whether the change set was accepted:
// ChangeStatus can be used to find out.
func (p *Planner) Submit(ctx context.Context, change *rpc.ChangeSet) (*rpc.ChangeResult, error) {
	result, err := p.submit(ctx, change)
	if err == nil {
		// A repeated change set waits, too: its response may arrive before that of the first.
		waitForPropagation(ctx, p.env)
	}
	return result, err
}

func (p *Planner) submit(ctx context.Context, change *rpc.ChangeSet) (*rpc.ChangeResult, error) {
	p.planningMu.Lock()
	defer p.planningMu.Unlock()
	if err := p.replica.ConfirmLeadership(ctx, p.env.Now()); err != nil {
		return nil, err
	}
	encoded, err := json.Marshal(change)
	if err != nil {
		return nil, errcode.New(errcode.InvalidCall, "%v", err)
	}
	digest := Digest(encoded)
	first, merged, err := p.checkChange(change, digest)
	if first != nil {
		return first, nil
	}
	if err != nil {
		if !errors.Is(err, errcode.ChangeReused) {
			p.env.Events.Emit(eventlog.ChangeRejected, "id", change.ID, "code", errcode.From(err).Code.Number)
		}
		return nil, err
	}
	result := &rpc.ChangeResult{ID: change.ID, State: stateAccepted, Digest: digest, Version: change.Version}
	if err := p.commitEpoch(ctx, &acceptedChange{result: result, config: merged}); err != nil {
		if errors.Is(err, errcode.NotLeader) {
			return nil, err
		}
		return nil, errcode.New(errcode.ChangeUnknown, "%v", err)
	}
	p.env.Events.Emit(eventlog.ChangeAccepted, "id", change.ID, "epoch", uint64(result.Epoch))
	return result, nil
}

// checkChange checks a change set against the current epoch. It returns the first result of a
// change set that was accepted before, or else the configuration with the change set merged in.
func (p *Planner) checkChange(change *rpc.ChangeSet, digest string) (first *rpc.ChangeResult, merged rpc.Configuration, err error) {
	epoch := p.state.Current()
	if first, err = epoch.CheckPrecondition(change, digest); first != nil || err != nil {
		return first, rpc.Configuration{}, err
	}
	current, err := epoch.Config()
	if err != nil {
		p.state.reportDamage(err)
		return nil, rpc.Configuration{}, err
	}
	merged, faults := MergeChange(current, change)
	if len(faults) > 0 {
		return nil, rpc.Configuration{}, errcode.NewPaths(errcode.InvalidChange, faults)
	}
	return nil, merged, nil
}

// ChangeStatus returns the result of an accepted change set. The error is errcode.ChangeAbsent
// if no change set with this ID was accepted. All entries in the log are committed first, so
// that the change set cannot be accepted after it was reported absent.
func (p *Planner) ChangeStatus(ctx context.Context, id string) (*rpc.ChangeResult, error) {
	result, err := p.changeStatus(ctx, id)
	if err == nil {
		waitForPropagation(ctx, p.env) // the result is an acknowledgement, as in Submit
	}
	return result, err
}

func (p *Planner) changeStatus(ctx context.Context, id string) (*rpc.ChangeResult, error) {
	p.planningMu.Lock()
	defer p.planningMu.Unlock()
	if err := p.replica.Barrier(ctx); err != nil {
		return nil, err
	}
	if result, ok := p.state.Current().FindChange(id); ok {
		return &result, nil
	}
	return nil, errcode.New(errcode.ChangeAbsent, "%q", id)
}
