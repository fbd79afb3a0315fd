package distribution

import (
	"testing"
	"time"
)

func TestFetchLimiter_SendsEachAwayALittleLonger(t *testing.T) {
	now := time.Now()
	l := &fetchLimiter{limit: 2, maxRetryAfter: time.Second}
	for range 2 {
		if retryAfter, ok := l.acquire(now); !ok || retryAfter != 0 {
			t.Fatal("refused while there is a place")
		}
	}
	// Two places of 20 ms each come free every 10 ms.
	for i, want := range []time.Duration{50, 50, 50, 50, 50, 60, 70} {
		if retryAfter, ok := l.acquire(now); ok || retryAfter != want*time.Millisecond {
			t.Errorf("%d: %v after %s, want %d ms", i, ok, retryAfter, want)
		}
	}
	l.release(800 * time.Millisecond) // an average of 200 ms
	if _, ok := l.acquire(now); !ok {
		t.Error("refused though one was released")
	}
	if retryAfter, _ := l.acquire(now); retryAfter != 170*time.Millisecond {
		t.Errorf("%s after a slow fetch", retryAfter)
	}
	for range 100 {
		if retryAfter, _ := l.acquire(now); retryAfter > time.Second {
			t.Fatal("told to wait", retryAfter)
		}
	}
}

func TestBoundedCache_ForgetsEverythingWhenFull(t *testing.T) {
	c := newBoundedCache[int](2)
	c.put("a", 1)
	c.put("b", 2)
	c.put("c", 3)
	_, hasFirst := c.get("a")
	if value, ok := c.get("c"); !ok || value != 3 || hasFirst || c.len() != 1 {
		t.Errorf("%d entries, %d, %v", c.len(), value, ok)
	}
}
