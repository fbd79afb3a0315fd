package harness

import (
	"context"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
)

const (
	// readyTimeout bounds how long a fleet may take until it is ready or serves.
	readyTimeout = 30 * time.Second
	// attemptPause is between two attempts at something that is waited for.
	attemptPause = 100 * time.Millisecond
)

// waitUntil tries until a condition holds. It fails when the limit is over or the context ends.
func waitUntil(ctx context.Context, limit time.Duration, holds func() bool) error {
	deadline := time.Now().Add(limit)
	for !holds() {
		if time.Now().After(deadline) || ctx.Err() != nil {
			return errcode.New(errcode.Internal, "not in time")
		}
		time.Sleep(attemptPause)
	}
	return nil
}
