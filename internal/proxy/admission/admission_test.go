package admission

import (
	"testing"
	"time"
)

func TestUploads_LargeBodiesAreSerialized(t *testing.T) {
	uploads, now := New(Config{KilobytesPerSecond: 100, ConcurrentReads: 1}), time.Now()
	latest := now.Add(time.Hour)
	reserve := func(at time.Time, size int64) time.Duration {
		got, ok := uploads.reserve(at, size, latest)
		if !ok {
			t.Error("reservation rejected for size", size)
		}
		return got.Sub(at)
	}
	if delay := reserve(now, 50_000); delay != 0 {
		t.Error("the first body is delayed by", delay)
	}
	if delay := reserve(now, 50_000); delay != 500*time.Millisecond {
		t.Error("the second body is not delayed by 500ms, but by", delay)
	}
	if delay := reserve(now, 400); delay != 0 {
		t.Error("a small body is delayed by", delay)
	}
	if _, ok := uploads.reserve(now, 50_000, now.Add(999*time.Millisecond)); ok {
		t.Error("a body that would start too late is admitted")
	}
	if delay := reserve(now, 50_000); delay != time.Second {
		t.Error("the rejected body reserved the link: the next one is delayed by", delay)
	}
	if delay := reserve(now.Add(2*time.Second), 50_000); delay != 0 {
		t.Error("a body on an idle link is delayed by", delay)
	}
	release, ok := uploads.BeginRead(t.Context(), 50_000, now.Add(time.Hour))
	if !ok {
		t.Fatal("the first body is not read")
	}
	if _, ok := uploads.BeginRead(t.Context(), 50_000, now); ok {
		t.Error("a second body is read concurrently")
	}
	if _, ok := uploads.BeginRead(t.Context(), 400, now); !ok {
		t.Error("a small body is not read")
	}
	release()
	if _, ok := uploads.BeginRead(t.Context(), -1, now.Add(time.Hour)); !ok {
		t.Error("release did not free the read slot")
	}
	unbounded := New(Config{})
	if _, ok := unbounded.BeginRead(t.Context(), 1<<20, now); !ok {
		t.Error("a body is not read although reads are unlimited")
	}
	if at, ok := unbounded.reserve(now, 1<<20, now); !ok || at != now {
		t.Error("a body is delayed although the rate is unlimited")
	}
}
