package admission

import (
	"testing"
	"time"
)

func TestUploads_LargeBodiesInTurn(t *testing.T) {
	uploads, now := New(Config{KilobytesPerSecond: 100, ConcurrentReads: 1}), time.Now()
	late := now.Add(time.Hour)
	reserve := func(at time.Time, size int64) time.Duration {
		got, ok := uploads.reserve(at, size, late)
		if !ok {
			t.Error("no place for", size)
		}
		return got.Sub(at)
	}
	if d := reserve(now, 50_000); d != 0 {
		t.Error("the first waits", d)
	}
	if d := reserve(now, 50_000); d != 500*time.Millisecond {
		t.Error("the second goes after", d)
	}
	if d := reserve(now, 400); d != 0 {
		t.Error("a small one waits", d)
	}
	if _, ok := uploads.reserve(now, 50_000, now.Add(999*time.Millisecond)); ok {
		t.Error("one that comes too late got a place")
	}
	if d := reserve(now, 50_000); d != time.Second {
		t.Error("the refused one took a place: the next goes after", d)
	}
	if d := reserve(now.Add(2*time.Second), 50_000); d != 0 {
		t.Error("an idle link holds one up", d)
	}
	end, ok := uploads.BeginRead(t.Context(), 50_000, now.Add(time.Hour))
	if !ok {
		t.Fatal("the first is not read")
	}
	if _, ok := uploads.BeginRead(t.Context(), 50_000, now); ok {
		t.Error("a second is read beside the first")
	}
	if _, ok := uploads.BeginRead(t.Context(), 400, now); !ok {
		t.Error("a small one is not read")
	}
	end()
	if _, ok := uploads.BeginRead(t.Context(), -1, now.Add(time.Hour)); !ok {
		t.Error("the place was not given back")
	}
	free := New(Config{})
	if _, ok := free.BeginRead(t.Context(), 1<<20, now); !ok {
		t.Error("one without bounds bounds")
	}
	if at, ok := free.reserve(now, 1<<20, now); !ok || at != now {
		t.Error("one without bounds holds up")
	}
}
