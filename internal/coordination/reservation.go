package coordination

import (
	"context"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

const (
	// batchDelay is how long reservations are collected for one entry.
	batchDelay = 8 * time.Millisecond
	// batchTimeout limits the time for writing that entry.
	batchTimeout = 3 * time.Second
)

// reservationBatch collects the reservations of idempotency keys that arrive within
// batchDelay. They share one log entry, and so its messages and disk syncs.
type reservationBatch struct {
	records []rpc.CoordinationRecord // guarded by the shard's mu until the batch is closed
	done    chan struct{}            // closed once response and err are set
	// response has one record for each record of the batch, in the same order.
	response *rpc.CoordinationResponse
	err      error
}

// reserve adds a reservation to the shard's batch and returns its part of the batch's response.
func (s *shard) reserve(ctx context.Context, request *rpc.CoordinationRequest) (*rpc.CoordinationResponse, error) {
	if !s.replica.IsServing() {
		return nil, s.notLeader()
	}
	batch, position := s.joinBatch(rpc.CoordinationRecord{Name: request.Name, Holder: request.Holder})
	select {
	case <-batch.done:
	case <-ctx.Done():
		return nil, errcode.New(errcode.WriteUnknown, "shard %d: %v", s.id, ctx.Err())
	}
	if batch.err != nil {
		return nil, batch.err
	}
	if position >= len(batch.response.Records) {
		return nil, s.writeUnknown()
	}
	record := batch.response.Records[position]
	response := &rpc.CoordinationResponse{Index: batch.response.Index, Holder: record.Holder, Value: record.Value}
	if record.Kind == kindRejected {
		response.Code = errcode.LockHeld.Number
	}
	return response, nil
}

// joinBatch adds a reservation to the open batch, or to a new one if there is none. It returns
// the batch and the reservation's position in it.
func (s *shard) joinBatch(record rpc.CoordinationRecord) (batch *reservationBatch, position int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.batch == nil {
		batch := &reservationBatch{done: make(chan struct{})}
		s.batch = batch
		s.env.Go(func() { s.writeBatch(batch) })
	}
	s.batch.records = append(s.batch.records, record)
	return s.batch, len(s.batch.records) - 1
}

// writeBatch waits for batchDelay, closes the batch to further reservations and writes it.
func (s *shard) writeBatch(batch *reservationBatch) {
	defer close(batch.done)
	isRunning := s.env.Sleep(batchDelay)
	s.mu.Lock()
	s.batch = nil
	s.mu.Unlock()
	if !isRunning {
		batch.err = errcode.New(errcode.Stopping, "")
		return
	}
	ctx, cancel := context.WithTimeout(s.env, batchTimeout)
	defer cancel()
	batch.response, batch.err = s.propose(ctx, &rpc.CoordinationRequest{Operation: opReserveBatch, Name: "orders", Records: batch.records})
}
