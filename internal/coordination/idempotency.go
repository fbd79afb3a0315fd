package coordination

import (
	"context"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// IdempotencyRetention is how long the record of an idempotency key is kept, at least. It
// is also how long a request under that key surely does not run twice.
const IdempotencyRetention = 10 * time.Minute

// cancelled is the value of a reservation that was given up because nothing of the request
// was handed over. The string stands in snapshots.
const cancelled = `"given back"`

// kindReserved tells, in the response to a batch, a key that is another request's.
const kindReserved = "held"

// reserve takes a batch of idempotency keys, each for the request that its record names as
// the holder. A key that is another request's gets that one's holder and outcome. A
// reservation that was cancelled before it came is not taken: its caller lost patience.
func (s *Store) reserve(index ids.Index, request *rpc.CoordinationRequest) *rpc.CoordinationResponse {
	response := &rpc.CoordinationResponse{Index: index}
	for _, wanted := range request.Records {
		current, ok := s.records[KindIdempotency][wanted.Name]
		isCancelled := string(current.Value) == cancelled
		isOthers := current.Holder != wanted.Holder
		if !ok || isOthers == isCancelled {
			s.records.put(rpc.CoordinationRecord{Name: wanted.Name, Kind: KindIdempotency, Holder: wanted.Holder, Index: index})
			response.Records = append(response.Records, rpc.CoordinationRecord{Name: wanted.Name, Holder: wanted.Holder})
			continue
		}
		response.Records = append(response.Records, rpc.CoordinationRecord{Name: wanted.Name, Kind: kindReserved, Holder: current.Holder, Value: current.Value})
	}
	return response
}

// cancelReservation frees a key whose request was not handed over. It leaves a record, so
// that a reservation that comes after its cancellation is not taken.
func (s *Store) cancelReservation(index ids.Index, request *rpc.CoordinationRequest) *rpc.CoordinationResponse {
	current, ok := s.records[KindIdempotency][request.Name]
	if !ok || current.Holder == request.Holder && current.Value == nil {
		s.records.put(rpc.CoordinationRecord{Name: request.Name, Kind: KindIdempotency, Holder: request.Holder, Value: []byte(cancelled), Index: index})
	}
	return &rpc.CoordinationResponse{Index: index}
}

// complete records the outcomes of a batch of reserved requests.
func (s *Store) complete(index ids.Index, request *rpc.CoordinationRequest) *rpc.CoordinationResponse {
	for _, completed := range request.Records {
		if current, ok := s.records[KindIdempotency][completed.Name]; ok && current.Holder == completed.Holder {
			current.Value = completed.Value
			s.records.put(current)
		}
	}
	return &rpc.CoordinationResponse{Index: index}
}

// sweep removes the records up to an index, which the request bears as its fencing token.
func (s *Store) sweep(index ids.Index, request *rpc.CoordinationRequest) *rpc.CoordinationResponse {
	records := s.records[KindIdempotency]
	for name, record := range records {
		if record.Index <= request.FencingToken {
			delete(records, name)
		}
	}
	return &rpc.CoordinationResponse{Index: index}
}

// indexAges is how far a shard's log had come at past moments, oldest first. Records bear
// indexes and no times, which replicas would not agree on.
type indexAges []indexAge

type indexAge struct {
	at    time.Time
	index ids.Index
}

// sweepIdempotencyRecords has the records removed that are older than the retention. It is
// called at intervals while this node leads the shard, and knows no age from before.
func (s *shard) sweepIdempotencyRecords() {
	if !s.replica.IsServing() {
		s.ages = nil
		return
	}
	records, applied := s.store.List(KindIdempotency, "")
	s.ages = append(s.ages, indexAge{s.env.Now(), applied})
	var expired ids.Index
	for len(s.ages) > 0 && s.env.Since(s.ages[0].at) > IdempotencyRetention {
		expired = s.ages[0].index
		s.ages = s.ages[1:]
	}
	for _, record := range records {
		if record.Index <= expired {
			s.proposeSweep(expired)
			return
		}
	}
}

// proposeSweep writes the removal of the records up to an index. If that fails, records
// stay until a later sweep.
func (s *shard) proposeSweep(upTo ids.Index) {
	s.env.Go(func() {
		ctx, cancel := context.WithTimeout(s.env, maintenanceTimeout)
		defer cancel()
		s.replica.Propose(ctx, &rpc.CoordinationRequest{Operation: opSweep, Name: "claims", FencingToken: upTo})
	})
}
