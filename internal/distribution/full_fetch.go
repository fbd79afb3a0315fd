package distribution

import (
	"context"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/controlplane"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// fullFetchHandler serves full fetches and limits how many run at once. Without the limit,
// proxies that timed out would retry while their previous request was still being processed,
// and a large number of proxies starting together would never complete their fetches.
type fullFetchHandler struct {
	encoder *groupEncoder
	limiter fetchLimiter
}

// newFullFetchHandler returns a handler that runs at most limit fetches at once and sends
// retry delays of at most maxRetryAfter.
func newFullFetchHandler(encoder *groupEncoder, limit int, maxRetryAfter time.Duration) *fullFetchHandler {
	return &fullFetchHandler{encoder: encoder, limiter: fetchLimiter{limit: limit, maxRetryAfter: maxRetryAfter}}
}

// handle returns the encoded epoch, or immediately a response with RetryAfterMillis if the
// limit is reached. A fetch occupies its slot until the response is written. It fails with
// errcode.ReplyLost if ctx ends before the epoch is encoded.
func (h *fullFetchHandler) handle(ctx context.Context, epoch *controlplane.EpochState, compress bool) (any, error) {
	started := time.Now()
	retryAfter, ok := h.limiter.acquire(started)
	if !ok {
		return &rpc.FetchResponse{RetryAfterMillis: max(retryAfter.Milliseconds(), 1)}, nil
	}
	release := func() { h.limiter.release(time.Since(started)) }
	encoded, err := h.encoder.encodeEpoch(epoch, compress)
	if err != nil || ctx.Err() != nil {
		release()
		return nil, errcode.New(errcode.ReplyLost, "full fetch aborted: %v", err)
	}
	return &rpc.EncodedResponse{Body: encoded, Release: release}, nil
}
