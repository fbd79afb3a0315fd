package idempotency

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/coordination"
	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/membership"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

const (
	acquireTimeout = 2 * time.Second
	writeTimeout   = 10 * time.Second // for a release or one batch of outcomes
	retryInterval  = 100 * time.Millisecond

	outcomeInterval  = time.Second // time in which outcomes are collected into a batch
	maxOutcomeBatch  = 1024
	outcomeQueueSize = 4096
)

// RecordsConfig holds the dependencies of Records.
type RecordsConfig struct {
	Environment *environment.Environment
	Membership  *membership.Memberlist
	// Coordinate sends a request to the leader of the replicated state.
	Coordinate func(context.Context, *rpc.CoordinationRequest) (*rpc.CoordinationResponse, error)
}

// Records manages the idempotency records in the replicated state. A request that must be
// deduplicated is forwarded only after its record has been acquired. A repeat through any
// proxy finds the record and is rejected with the request's state. A record is released if
// its request certainly did not run. A record without an outcome whose proxy is no longer
// live is kept, and its request's state is unknown. Outcomes are written in batches, once a
// second.
type Records struct {
	config   RecordsConfig
	outcomes chan recordedOutcome // not written yet; if full, outcomes are dropped and stay unknown
}

type recordedOutcome struct {
	name   string
	holder string
	state  State
}

// NewRecords returns the records, and starts the background task in the environment that
// writes outcomes.
func NewRecords(config RecordsConfig) *Records {
	r := &Records{config: config, outcomes: make(chan recordedOutcome, outcomeQueueSize)}
	config.Environment.Go(r.writeOutcomes)
	return r
}

// Acquire acquires a record for a request, within the deadline. The reservation ID must not be used
// for another request, as the release of its record may be executed late. If it fails, the request must
// not be forwarded: either another request holds the record (Conflict), or the holder is not
// known (errcode.NoLeader).
func (r *Records) Acquire(name, reservationID string, deadline time.Time) error {
	if limit := time.Now().Add(acquireTimeout); limit.Before(deadline) {
		deadline = limit
	}
	ctx, cancel := context.WithDeadline(r.config.Environment, deadline)
	defer cancel()
	response, err := r.config.Coordinate(ctx, &rpc.CoordinationRequest{Operation: coordination.OpReserve, Name: name, Holder: r.holder(reservationID)})
	if err != nil {
		r.config.Environment.Go(func() { r.release(name, reservationID) })
		return errcode.New(errcode.NoLeader, "the idempotency record can't be acquired: %v", err)
	}
	if response.Code == 0 {
		return nil
	}
	state := Unrecorded
	if len(response.Value) > 0 {
		if err := json.Unmarshal(response.Value, &state); err != nil {
			return Conflict(Unknown, "request "+response.Holder+": its record can't be read: "+err.Error())
		}
	}
	if state == Unrecorded && !r.isHolderLive(response.Holder) {
		state = Unknown
	}
	return Conflict(state, "request "+response.Holder)
}

// Finish records the outcome of a request whose record was acquired. It releases the record
// if the request certainly did not run.
func (r *Records) Finish(name, reservationID string, err error) {
	state := Ran
	switch {
	case err == nil:
	case errcode.From(err).Code.Outcome == outcomeNotRun:
		r.config.Environment.Go(func() { r.release(name, reservationID) })
		return
	default:
		state = Unknown
	}
	select {
	case r.outcomes <- recordedOutcome{name, r.holder(reservationID), state}:
	default:
	}
}

// holder identifies a request together with the incarnation of the proxy that received it.
func (r *Records) holder(reservationID string) string {
	self := r.config.Membership.Self()
	return string(self.Name) + " " + string(self.ID) + " " + reservationID
}

// isHolderLive reports whether the proxy that acquired a record is live. If it is not, it
// will not write the outcome.
func (r *Records) isHolderLive(holder string) bool {
	fields := strings.Split(holder, " ")
	return len(fields) != 3 || r.config.Membership.IsLive(rpc.Peer{Name: ids.NodeName(fields[0]), ID: ids.MemberID(fields[1])})
}

// release releases the record of a request that certainly did not run.
func (r *Records) release(name, reservationID string) {
	r.write(&rpc.CoordinationRequest{Operation: coordination.OpCancelReservation, Name: name, Holder: r.holder(reservationID)})
}

// write sends a request, and retries until it succeeds or writeTimeout has passed.
func (r *Records) write(request *rpc.CoordinationRequest) {
	ctx, cancel := context.WithTimeout(r.config.Environment, writeTimeout)
	defer cancel()
	for ctx.Err() == nil {
		if _, err := r.config.Coordinate(ctx, request); err == nil {
			return
		}
		r.config.Environment.Sleep(retryInterval)
	}
}

// writeOutcomes writes outcomes in batches, with one request per shard.
func (r *Records) writeOutcomes() {
	for {
		var batch []recordedOutcome
		select {
		case <-r.config.Environment.Done():
			return
		case outcome := <-r.outcomes:
			batch = append(batch, outcome)
		}
		if !r.config.Environment.Sleep(outcomeInterval) {
			return
		}
		batch = drain(r.outcomes, batch, maxOutcomeBatch)
		byShard := map[ids.Shard]*rpc.CoordinationRequest{}
		for _, outcome := range batch {
			shard := ids.ShardOf(outcome.name)
			if byShard[shard] == nil {
				byShard[shard] = &rpc.CoordinationRequest{Operation: coordination.OpComplete, Name: outcome.name}
			}
			value, _ := json.Marshal(outcome.state) // a string; can't fail
			byShard[shard].Records = append(byShard[shard].Records, rpc.CoordinationRecord{Name: outcome.name, Holder: outcome.holder, Value: value})
		}
		for _, request := range byShard {
			r.config.Environment.Go(func() { r.write(request) })
		}
	}
}

// drain appends queued values to the batch until it has limit values, without blocking.
func drain[T any](queue <-chan T, batch []T, limit int) []T {
	for len(batch) < limit {
		select {
		case value := <-queue:
			batch = append(batch, value)
		default:
			return batch
		}
	}
	return batch
}
