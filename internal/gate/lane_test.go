package gate

import (
	"testing"
	"time"
)

func TestLargeBodiesTakeTheLaneInTurn(t *testing.T) {
	l, now := newLane(100, 1), time.Now()
	if at := l.turn(now, 50_000); at != now {
		t.Error("the first waits", at.Sub(now))
	}
	if at := l.turn(now, 50_000); at.Sub(now) != 500*time.Millisecond {
		t.Error("the second goes out after", at.Sub(now))
	}
	if at := l.turn(now, 400); at != now {
		t.Error("a small one waits")
	}
	if at := l.turn(now.Add(2*time.Second), 50_000); at != now.Add(2*time.Second) {
		t.Error("an empty lane holds one up")
	}
	end, ok := l.begin(50_000, now.Add(time.Hour))
	if !ok {
		t.Fatal("the first is not read")
	}
	if _, ok := l.begin(50_000, now); ok {
		t.Error("a second is read beside the first")
	}
	if _, ok := l.begin(400, now); !ok {
		t.Error("a small one is not read")
	}
	end()
	if _, ok := l.begin(-1, now.Add(time.Hour)); !ok {
		t.Error("the place was not given back")
	}
	free := newLane(0, 0)
	if _, ok := free.begin(1<<20, now); !ok || free.turn(now, 1<<20) != now {
		t.Error("a lane without bounds bounds")
	}
}
