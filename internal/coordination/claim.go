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
	batchDelay   = 8 * time.Millisecond
	batchTimeout = 3 * time.Second

	released        = `"given back"`
	reservedByOther = "held"
)

// idempotencyBatch is claims that wait for their one entry.
type idempotencyBatch struct {
	records  []rpc.CoordinationRecord
	done     chan struct{}
	response *rpc.CoordinationResponse
	err      error
}

// ageSample is how far a part had come at a time.
type ageSample struct {
	at    time.Time
	index ids.Index
}

// IdempotencyRetention is how long the claim on an order's key stands, at least.
const IdempotencyRetention = 10 * time.Minute

// expireIdempotencyRecords takes out claims that are older than that.
func (d *Service) expireIdempotencyRecords(no ids.Shard) {
	if !d.replicas.Replica(no).IsServing() {
		d.ages[no] = nil
		return
	}
	claims, stamp := d.stores[no].List(KindIdempotency, "")
	d.ages[no] = append(d.ages[no], ageSample{d.env.Now(), stamp})
	old := ids.Index(0)
	for len(d.ages[no]) > 0 && d.env.Since(d.ages[no][0].at) > IdempotencyRetention {
		old = d.ages[no][0].index
		d.ages[no] = d.ages[no][1:]
	}
	for _, claim := range claims {
		if claim.Index <= old {
			d.env.Go(func() {
				ctx, end := context.WithTimeout(d.env, 5*time.Second)
				defer end()
				d.replicas.Replica(no).Propose(ctx, &rpc.CoordinationRequest{Operation: "sweep", Name: "claims", FencingToken: old})
			})
			return
		}
	}
}

// reserve joins the gathering of the part, and picks its own receipt out of it.
func (d *Service) reserve(ctx context.Context, no ids.Shard, op *rpc.CoordinationRequest) (*rpc.CoordinationResponse, error) {
	if !d.replicas.Replica(no).IsServing() {
		return nil, errcode.New(errcode.NotOwner, "part %d", no)
	}
	d.mu.Lock()
	now := d.batches[no]
	if now == nil {
		now = &idempotencyBatch{done: make(chan struct{})}
		d.batches[no] = now
		d.env.Go(func() { d.writeBatch(no, now) })
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
	if mine >= len(now.response.Records) {
		return nil, errcode.New(errcode.Unsure, "part %d", no)
	}
	got := now.response.Records[mine]
	receipt := &rpc.CoordinationResponse{Index: now.response.Index, Holder: got.Holder, Value: got.Value}
	if got.Kind == reservedByOther {
		receipt.Code = errcode.Held.No
	}
	return receipt, nil
}

func (d *Service) writeBatch(no ids.Shard, now *idempotencyBatch) {
	defer close(now.done)
	isOn := d.env.Sleep(batchDelay)
	d.mu.Lock()
	delete(d.batches, no)
	d.mu.Unlock()
	if !isOn {
		now.err = errcode.New(errcode.Stopping, "")
		return
	}
	ctx, end := context.WithTimeout(d.env, batchTimeout)
	defer end()
	_, receipt, err := d.replicas.Replica(no).Propose(ctx, &rpc.CoordinationRequest{Operation: "claims", Name: "orders", Records: now.records})
	got, ok := receipt.(*rpc.CoordinationResponse)
	if err == nil && !ok {
		err = errcode.New(errcode.Unsure, "part %d", no)
	}
	now.response, now.err = got, err
}

// executeIdempotency folds the calls on claims. One that was given back before it came, for
// its asker had lost patience, is not taken when it comes late.
func (b *Store) executeIdempotency(index ids.Index, op *rpc.CoordinationRequest) *rpc.CoordinationResponse {
	receipt := &rpc.CoordinationResponse{Index: index}
	claims := b.recordsOf(KindIdempotency)
	switch op.Operation {
	case "claims":
		for _, r := range op.Records {
			old, ok := claims[r.Name]
			isBack := string(old.Value) == released
			if ok && (old.Holder != r.Holder) == isBack || !ok {
				claims[r.Name] = rpc.CoordinationRecord{Name: r.Name, Kind: KindIdempotency, Holder: r.Holder, Index: index}
				receipt.Records = append(receipt.Records, rpc.CoordinationRecord{Name: r.Name, Holder: r.Holder})
				continue
			}
			receipt.Records = append(receipt.Records, rpc.CoordinationRecord{Name: r.Name, Kind: reservedByOther, Holder: old.Holder, Value: old.Value})
		}
	case "unclaim":
		if old, ok := claims[op.Name]; !ok || old.Holder == op.Holder && old.Value == nil {
			claims[op.Name] = rpc.CoordinationRecord{Name: op.Name, Kind: KindIdempotency, Holder: op.Holder, Value: []byte(released), Index: index}
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
