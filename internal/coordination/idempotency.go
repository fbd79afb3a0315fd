package coordination

import (
	"context"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// IdempotencyRetention is the minimum time for which the record of an idempotency key is
// kept. Within this time, a request with the same key does not run twice.
const IdempotencyRetention = 10 * time.Minute

// canceledValue is the value of the record of a canceled reservation, whose request was not sent
// to a target. The string is stored in snapshots.
const canceledValue = `"given back"`

// kindRejected is the kind of a record in the response to a batch if the reservation was
// rejected: another request holds the key, or the reservation was canceled before it arrived.
const kindRejected = "held"

// reserve reserves a batch of idempotency keys. The holder of each record in the batch is the
// request that reserves the key. If the key is reserved by another request, the response has
// that request's holder and outcome. A reservation that arrives after its cancellation is
// rejected, because its caller has given up.
func (s *Store) reserve(index ids.Index, request *rpc.CoordinationRequest) *rpc.CoordinationResponse {
	response := &rpc.CoordinationResponse{Index: index}
	for _, reservation := range request.Records {
		current, ok := s.records[KindIdempotency][reservation.Name]
		isCanceled := string(current.Value) == canceledValue
		isOtherHolder := current.Holder != reservation.Holder
		if !ok || isOtherHolder == isCanceled {
			s.records.put(rpc.CoordinationRecord{Name: reservation.Name, Kind: KindIdempotency, Holder: reservation.Holder, Index: index})
			response.Records = append(response.Records, rpc.CoordinationRecord{Name: reservation.Name, Holder: reservation.Holder})
			continue
		}
		response.Records = append(response.Records, rpc.CoordinationRecord{Name: reservation.Name, Kind: kindRejected, Holder: current.Holder, Value: current.Value})
	}
	return response
}

// cancelReservation frees the key of a request that was not sent to a target. It keeps a
// record of the cancellation, so that reserve rejects a reservation that arrives after it.
func (s *Store) cancelReservation(index ids.Index, request *rpc.CoordinationRequest) *rpc.CoordinationResponse {
	current, ok := s.records[KindIdempotency][request.Name]
	if !ok || current.Holder == request.Holder && current.Value == nil {
		s.records.put(rpc.CoordinationRecord{Name: request.Name, Kind: KindIdempotency, Holder: request.Holder, Value: []byte(canceledValue), Index: index})
	}
	return &rpc.CoordinationResponse{Index: index}
}

// complete records the outcomes of a batch of requests that hold their keys' reservations.
func (s *Store) complete(index ids.Index, request *rpc.CoordinationRequest) *rpc.CoordinationResponse {
	for _, completed := range request.Records {
		if current, ok := s.records[KindIdempotency][completed.Name]; ok && current.Holder == completed.Holder {
			current.Value = completed.Value
			s.records.put(current)
		}
	}
	return &rpc.CoordinationResponse{Index: index}
}

// sweep removes the idempotency records up to an index, given as the request's fencing token.
func (s *Store) sweep(index ids.Index, request *rpc.CoordinationRequest) *rpc.CoordinationResponse {
	records := s.records[KindIdempotency]
	for name, record := range records {
		if record.Index <= request.FencingToken {
			delete(records, name)
		}
	}
	return &rpc.CoordinationResponse{Index: index}
}

// indexSamples holds a shard's applied index at past times, oldest first. The age of a record
// follows from its index: records have no times, because replicas would not agree on them.
type indexSamples []indexSample

type indexSample struct {
	sampledAt time.Time
	index     ids.Index
}

// sweepIdempotencyRecords samples the applied index and proposes the removal of records that
// are older than IdempotencyRetention. It is called periodically. The samples start with this
// node's leadership, so records from before count as created then.
func (s *shard) sweepIdempotencyRecords() {
	if !s.replica.IsServing() {
		s.indexSamples = nil
		return
	}
	records, appliedIndex := s.store.List(KindIdempotency, "")
	s.indexSamples = append(s.indexSamples, indexSample{s.env.Now(), appliedIndex})
	var expiredIndex ids.Index
	for len(s.indexSamples) > 0 && s.env.Since(s.indexSamples[0].sampledAt) > IdempotencyRetention {
		expiredIndex = s.indexSamples[0].index
		s.indexSamples = s.indexSamples[1:]
	}
	for _, record := range records {
		if record.Index <= expiredIndex {
			s.proposeSweep(expiredIndex)
			return
		}
	}
}

// proposeSweep proposes the removal of the records up to an index in the background. If the
// proposal fails, the records remain until a later sweep.
func (s *shard) proposeSweep(upTo ids.Index) {
	s.env.Go(func() {
		ctx, cancel := context.WithTimeout(s.env, maintenanceTimeout)
		defer cancel()
		s.replica.Propose(ctx, &rpc.CoordinationRequest{Operation: opSweep, Name: "claims", FencingToken: upTo})
	})
}
