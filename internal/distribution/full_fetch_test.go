package distribution

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

func TestFullFetch_LimitsConcurrentFetches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		settings := newFakeNetwork().environment(t, ctx, "core", "10.0.0.1:1").Config
		h := newFullFetchHandler(&groupEncoder{}, settings.DistributionMaxConcurrentFetches, settings.DistributionRetryCooldown)
		epoch := newEpochs(t, 1)[0]
		fetch := func(ctx context.Context) (*rpc.EncodedResponse, int64) {
			got, err := h.handle(ctx, epoch, false)
			if err != nil {
				return nil, 0
			}
			if response, ok := got.(*rpc.EncodedResponse); ok {
				return response, 0
			}
			return nil, got.(*rpc.FetchResponse).RetryAfterMillis
		}
		cancelled, cancel := context.WithCancel(ctx)
		cancel()
		for range 5 {
			if response, retryAfter := fetch(cancelled); response != nil || retryAfter != 0 {
				t.Fatal("a fetch with a cancelled context was processed")
			}
		}
		first, _ := fetch(ctx)
		second, _ := fetch(ctx)
		if first == nil || second == nil {
			t.Fatal("refused while a slot is free")
		}
		time.Sleep(400 * time.Millisecond)
		if response, retryAfter := fetch(ctx); response != nil || retryAfter == 0 {
			t.Fatal("a third concurrent fetch was accepted")
		}
		first.Release()
		if first, _ = fetch(ctx); first == nil {
			t.Fatal("refused although a slot was released")
		}
		previous := int64(0)
		for i := range 8 {
			_, retryAfter := fetch(ctx)
			if retryAfter == 0 || retryAfter < previous || i == 7 && retryAfter == previous {
				t.Fatalf("proxy %d got a retry delay of %d ms, the previous one %d ms", i, retryAfter, previous)
			}
			if i != 6 {
				previous = retryAfter
			}
		}
		for range 1000 {
			if _, retryAfter := fetch(ctx); retryAfter > settings.DistributionRetryCooldown.Milliseconds() {
				t.Fatal("retry delay exceeds distribution.retry_cooldown, in ms:", retryAfter)
			}
		}
		second.Release()
		first.Release()
		for range 2 {
			if response, _ := fetch(ctx); response == nil {
				t.Fatal("a released slot was not reused")
			}
		}
	})
}
