// What operators ask of the planner: to take a change set whole, to tell what
// became of one, and to show the epoch in force.
package controlplane

import (
	"context"
	"encoding/json"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/eventlog"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// Submit takes a change set whole, or not at all.
func (l *Planner) Submit(ctx context.Context, change *rpc.Change) (*rpc.ChangeReceipt, error) {
	receipt, isNew, err := l.submit(ctx, change)
	if isNew {
		linger(ctx, l.r)
	}
	return receipt, err
}

func (l *Planner) submit(ctx context.Context, change *rpc.Change) (receipt *rpc.ChangeReceipt, isNew bool, err error) {
	l.planning.Lock()
	defer l.planning.Unlock()
	if err := l.part.Confirm(ctx, l.r.Now()); err != nil {
		return nil, false, err
	}
	raw, _ := json.Marshal(change)
	digest := Digest(raw)
	sheet := l.ledger.Sheet()
	first, err := sheet.Judge(change, digest)
	if first != nil {
		return first, false, nil
	}
	var config rpc.Config
	if err == nil {
		var paths []string
		if config, paths = Lay(sheet.Config(), change); len(paths) > 0 {
			err = errcode.At(errcode.BadChange, paths)
		}
	}
	if err != nil {
		if !errcode.Is(err, errcode.ChangeReused) {
			l.r.Sign.Say(eventlog.ChangeRefused, "id", change.Id, "code", errcode.Of(err).Code.No)
		}
		return nil, false, err
	}
	receipt = &rpc.ChangeReceipt{Id: change.Id, State: "accepted", Digest: digest, Version: change.Version}
	if err := l.plan(ctx, receipt, &config); err != nil {
		if errcode.Is(err, errcode.NotOwner) {
			return nil, false, err
		}
		return nil, false, errcode.New(errcode.ChangeUnknown, "%v", err)
	}
	l.r.Sign.Say(eventlog.ChangeAccepted, "id", change.Id, "epoch", uint64(receipt.Epoch))
	return receipt, true, nil
}

// AskChange tells what became of a change set. It waits for all that is in the
// log, so that "absent" can't be followed by a late acceptance.
func (l *Planner) AskChange(ctx context.Context, id string) (*rpc.ChangeReceipt, error) {
	l.planning.Lock()
	defer l.planning.Unlock()
	if err := l.part.Barrier(ctx); err != nil {
		return nil, err
	}
	if receipt, ok := l.ledger.Sheet().Find(id); ok {
		return &receipt, nil
	}
	return nil, errcode.New(errcode.ChangeAbsent, "%q", id)
}

// View is the epoch in force, confirmed since the call came.
func (l *Planner) View(ctx context.Context) (*rpc.EpochView, error) {
	if err := l.part.Confirm(ctx, l.r.Now()); err != nil {
		return nil, err
	}
	return l.ledger.Sheet().View(), nil
}

// Config is the operators' configuration as they sent it, keys and all,
// confirmed since the call came.
func (l *Planner) Config(ctx context.Context) (*rpc.ConfigView, error) {
	if err := l.part.Confirm(ctx, l.r.Now()); err != nil {
		return nil, err
	}
	sheet := l.ledger.Sheet()
	return &rpc.ConfigView{Version: sheet.Version, Epoch: sheet.Epoch, Config: sheet.Config()}, nil
}

// Pulse tells the epoch in force and the ages of what it reflects. It asks for
// no round of its own: the age of the last one is told, and is what counts.
func (l *Planner) Pulse() (*rpc.PulseReceipt, error) {
	age, isServing := l.part.Age()
	if !isServing {
		return nil, errcode.New(errcode.NotOwner, "configuration part")
	}
	began := l.r.Now()
	term, _, _ := l.part.Serving()
	l.mu.Lock()
	defer l.mu.Unlock()
	receipt := &rpc.PulseReceipt{Parts: make([]int64, ids.Parts)}
	for no := range receipt.Parts {
		receipt.Parts[no] = -1
		if at, ok := l.reflects[ids.Part(no)]; ok && l.term == term {
			receipt.Parts[no] = l.r.Since(at).Microseconds() + 1
		}
	}
	sheet := l.ledger.Sheet()
	receipt.Epoch, receipt.Binding = sheet.Epoch, sheet.Binding
	receipt.Age = (age + l.r.Since(began)).Microseconds() + 1
	return receipt, nil
}
