package harness

import (
	"context"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
)

const (
	// readyTimeout limits the time until a fleet is ready or serves requests.
	readyTimeout = 30 * time.Second
	// attemptInterval is the delay between two checks of a condition in waitUntil.
	attemptInterval = 100 * time.Millisecond
)

// waitUntil checks a condition periodically until it holds. It fails after the timeout, or when the
// context ends.
func waitUntil(ctx context.Context, timeout time.Duration, condition func() bool) error {
	deadline := time.Now().Add(timeout)
	for !condition() {
		if time.Now().After(deadline) || ctx.Err() != nil {
			return errcode.New(errcode.Internal, "timed out or canceled")
		}
		time.Sleep(attemptInterval)
	}
	return nil
}
