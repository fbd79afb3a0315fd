package distribution

import (
	"context"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/controlplane"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// fullFetchHandler answers full fetches, only so many at a time. Without that bound proxies
// that gave up would ask again while their last request was still worked on, and a fleet that
// starts together would never be done.
type fullFetchHandler struct {
	encoder *groupEncoder
	limiter fetchLimiter
}

// newFullFetchHandler returns a handler of at most limit fetches at a time, which tells no
// proxy to wait longer than maxRetryAfter.
func newFullFetchHandler(encoder *groupEncoder, limit int, maxRetryAfter time.Duration) *fullFetchHandler {
	return &fullFetchHandler{encoder: encoder, limiter: fetchLimiter{limit: limit, maxRetryAfter: maxRetryAfter}}
}

// answer returns an epoch in full if the limit allows, and otherwise at once when to ask
// again. A fetch counts from here until its last byte is written. One that its proxy no
// longer waits for is given up.
func (h *fullFetchHandler) answer(ctx context.Context, epoch *controlplane.EpochState, packed bool) (any, error) {
	started := time.Now()
	retryAfter, ok := h.limiter.acquire(started)
	if !ok {
		return &rpc.FetchResponse{RetryAfterMillis: max(retryAfter.Milliseconds(), 1)}, nil
	}
	release := func() { h.limiter.release(time.Since(started)) }
	encoded, err := h.encoder.epoch(epoch, packed)
	if err != nil || ctx.Err() != nil {
		release()
		return nil, errcode.New(errcode.ReplyLost, "the fetch is given up: %v", err)
	}
	return &rpc.EncodedResponse{Body: encoded, Release: release}, nil
}
