// Claims on orders that must not run twice: a key is claimed for one request
// before that is handed over, given back if nothing was written, or settled as
// what became of it. Claims that come to the owner within a moment are gathered
// into one entry, so that they share its messages and its syncs.
package coordination

import (
	"context"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

const (
	gatherPause = 8 * time.Millisecond
	gatherTime  = 3 * time.Second

	givenBack = `"given back"`
	held      = "held"
)

// gathering is claims that wait for their one entry.
type gathering struct {
	records []rpc.CoordinationRecord
	done    chan struct{}
	receipt *rpc.CoordinationResponse
	err     error
}

// moment is how far a part had come at a time.
type moment struct {
	at    time.Time
	stamp ids.Index
}

// ClaimsKept is how long the claim on an order's key stands, at least.
const ClaimsKept = 10 * time.Minute

// sweep takes out claims that are older than that.
func (d *Desk) sweep(no ids.Shard) {
	if !d.p.Replica(no).IsServing() {
		d.past[no] = nil
		return
	}
	claims, stamp := d.books[no].All(Claim, "")
	d.past[no] = append(d.past[no], moment{d.r.Now(), stamp})
	old := ids.Index(0)
	for len(d.past[no]) > 0 && d.r.Since(d.past[no][0].at) > ClaimsKept {
		old = d.past[no][0].stamp
		d.past[no] = d.past[no][1:]
	}
	for _, claim := range claims {
		if claim.Index <= old {
			d.r.Go(func() {
				ctx, end := context.WithTimeout(d.r, 5*time.Second)
				defer end()
				d.p.Replica(no).Propose(ctx, &rpc.CoordinationRequest{Operation: "sweep", Name: "claims", FencingToken: old})
			})
			return
		}
	}
}

// claim joins the gathering of the part, and picks its own receipt out of it.
func (d *Desk) claim(ctx context.Context, no ids.Shard, op *rpc.CoordinationRequest) (*rpc.CoordinationResponse, error) {
	if !d.p.Replica(no).IsServing() {
		return nil, errcode.New(errcode.NotOwner, "part %d", no)
	}
	d.mu.Lock()
	now := d.gathered[no]
	if now == nil {
		now = &gathering{done: make(chan struct{})}
		d.gathered[no] = now
		d.r.Go(func() { d.write(no, now) })
	}
	mine := len(now.records)
	now.records = append(now.records, rpc.CoordinationRecord{Name: op.Name, Holder: op.Holder})
	d.mu.Unlock()
	select {
	case <-now.done:
	case <-ctx.Done():
		return nil, errcode.New(errcode.Unsure, "part %d: %v", no, ctx.Err())
	}
	if now.err != nil {
		return nil, now.err
	}
	if mine >= len(now.receipt.Records) {
		return nil, errcode.New(errcode.Unsure, "part %d", no)
	}
	got := now.receipt.Records[mine]
	receipt := &rpc.CoordinationResponse{Index: now.receipt.Index, Holder: got.Holder, Value: got.Value}
	if got.Kind == held {
		receipt.Code = errcode.Held.No
	}
	return receipt, nil
}

func (d *Desk) write(no ids.Shard, now *gathering) {
	defer close(now.done)
	isOn := d.r.Sleep(gatherPause)
	d.mu.Lock()
	delete(d.gathered, no)
	d.mu.Unlock()
	if !isOn {
		now.err = errcode.New(errcode.Stopping, "")
		return
	}
	ctx, end := context.WithTimeout(d.r, gatherTime)
	defer end()
	_, receipt, err := d.p.Replica(no).Propose(ctx, &rpc.CoordinationRequest{Operation: "claims", Name: "orders", Records: now.records})
	got, ok := receipt.(*rpc.CoordinationResponse)
	if err == nil && !ok {
		err = errcode.New(errcode.Unsure, "part %d", no)
	}
	now.receipt, now.err = got, err
}

// claim folds the calls on claims. One that was given back before it came, for
// its asker had lost patience, is not taken when it comes late.
func (b *Book) claim(index ids.Index, op *rpc.CoordinationRequest) *rpc.CoordinationResponse {
	receipt := &rpc.CoordinationResponse{Index: index}
	claims := b.of(Claim)
	switch op.Operation {
	case "claims":
		for _, r := range op.Records {
			old, ok := claims[r.Name]
			isBack := string(old.Value) == givenBack
			if ok && (old.Holder != r.Holder) == isBack || !ok {
				claims[r.Name] = rpc.CoordinationRecord{Name: r.Name, Kind: Claim, Holder: r.Holder, Index: index}
				receipt.Records = append(receipt.Records, rpc.CoordinationRecord{Name: r.Name, Holder: r.Holder})
				continue
			}
			receipt.Records = append(receipt.Records, rpc.CoordinationRecord{Name: r.Name, Kind: held, Holder: old.Holder, Value: old.Value})
		}
	case "unclaim":
		if old, ok := claims[op.Name]; !ok || old.Holder == op.Holder && old.Value == nil {
			claims[op.Name] = rpc.CoordinationRecord{Name: op.Name, Kind: Claim, Holder: op.Holder, Value: []byte(givenBack), Index: index}
		}
	case "settle":
		for _, r := range op.Records {
			if old, ok := claims[r.Name]; ok && old.Holder == r.Holder {
				old.Value = r.Value
				claims[r.Name] = old
			}
		}
	case "sweep":
		for name, record := range claims {
			if record.Index <= op.FencingToken {
				delete(claims, name)
			}
		}
	}
	return receipt
}
