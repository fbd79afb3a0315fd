package distribution

import (
	"testing"
	"time"
)

func TestFetchLimiter_RetryAfterGrowsWithEachRefusal(t *testing.T) {
	now := time.Now()
	l := &fetchLimiter{limit: 2, maxRetryAfter: time.Second}
	for range 2 {
		if retryAfter, ok := l.acquire(now); !ok || retryAfter != 0 {
			t.Fatal("refused while a slot is free")
		}
	}
	// With two slots and the minimum average of 20 ms, retry times are 10 ms apart. The first
	// delays are raised to the minimum of 50 ms.
	for i, want := range []time.Duration{50, 50, 50, 50, 50, 60, 70} {
		if retryAfter, ok := l.acquire(now); ok || retryAfter != want*time.Millisecond {
			t.Errorf("refusal %d: ok %v, retry after %s, want %d ms", i, ok, retryAfter, want)
		}
	}
	l.release(800 * time.Millisecond) // raises the average to 200 ms
	if _, ok := l.acquire(now); !ok {
		t.Error("refused although a slot was released")
	}
	if retryAfter, _ := l.acquire(now); retryAfter != 170*time.Millisecond {
		t.Errorf("retry after %s following a slow fetch, want 170 ms", retryAfter)
	}
	for range 100 {
		if retryAfter, _ := l.acquire(now); retryAfter > time.Second {
			t.Fatal("retry delay exceeds maxRetryAfter:", retryAfter)
		}
	}
}

func TestBoundedCache_ClearsWhenFull(t *testing.T) {
	c := newBoundedCache[int](2)
	c.put("a", 1)
	c.put("b", 2)
	c.put("c", 3)
	_, hasFirst := c.get("a")
	if value, ok := c.get("c"); !ok || value != 3 || hasFirst || c.len() != 1 {
		t.Errorf("got %d entries, value %d for the last key (present: %v)", c.len(), value, ok)
	}
}
