package distribution

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

func TestFullFetch_OnlySoManyAreInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		settings := newFakeNetwork().environment(t, ctx, "core", "10.0.0.1:1").Config
		h := newFullFetchHandler(&groupEncoder{}, settings.DistributionMaxConcurrentFetches, settings.DistributionRetryCooldown)
		epoch := newEpochs(t, 1)[0]
		fetch := func(ctx context.Context) (*rpc.EncodedResponse, int64) {
			got, err := h.answer(ctx, epoch, false)
			if err != nil {
				return nil, 0
			}
			if response, ok := got.(*rpc.EncodedResponse); ok {
				return response, 0
			}
			return nil, got.(*rpc.FetchResponse).RetryAfterMillis
		}
		ended, cancel := context.WithCancel(ctx)
		cancel()
		for range 5 {
			if response, retryAfter := fetch(ended); response != nil || retryAfter != 0 {
				t.Fatal("worked on for a proxy that has gone")
			}
		}
		one, _ := fetch(ctx)
		two, _ := fetch(ctx)
		if one == nil || two == nil {
			t.Fatal("refused while there is a place")
		}
		time.Sleep(400 * time.Millisecond)
		if response, retryAfter := fetch(ctx); response != nil || retryAfter == 0 {
			t.Fatal("a third is under way")
		}
		one.Release()
		if one, _ = fetch(ctx); one == nil {
			t.Fatal("refused though one came to its end")
		}
		before := int64(0)
		for i := range 8 {
			_, retryAfter := fetch(ctx)
			if retryAfter == 0 || retryAfter < before || i == 7 && retryAfter == before {
				t.Fatalf("proxy %d is told %d ms, the one before %d", i, retryAfter, before)
			}
			if i != 6 {
				before = retryAfter
			}
		}
		for range 1000 {
			if _, retryAfter := fetch(ctx); retryAfter > settings.DistributionRetryCooldown.Milliseconds() {
				t.Fatal("told to wait", retryAfter)
			}
		}
		two.Release()
		one.Release()
		for range 2 {
			if response, _ := fetch(ctx); response == nil {
				t.Fatal("a place was lost")
			}
		}
	})
}
