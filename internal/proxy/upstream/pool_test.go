package upstream

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/config"
	"github.com/sumactrestle/sumactrestle/internal/environment"
)

func TestPool_AfterStaleConnectionNoneThatIdledLongIsUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dials := 0
		r := environment.New(t.Context(), &config.Settings{}, nil, environment.Host{Dial: func(context.Context, string) (net.Conn, error) {
			dials++
			near, _ := net.Pipe()
			return near, nil
		}})
		defer r.Shutdown()
		o := NewPool(Config{Environment: r, IdleTimeout: 20 * time.Second})
		defer o.Prune(func(string) bool { return false })
		// use takes a connection, and leaves it idle for a while.
		use := func(rest time.Duration) *Connection {
			p, err := o.Get(r, "s", "t", time.Second)
			if err != nil {
				t.Fatal(err)
			}
			o.Put("s", p)
			time.Sleep(rest)
			return p
		}
		use(time.Second)
		if p := use(time.Second); dials != 1 || p.IdledFor() != time.Second {
			t.Fatalf("%d dials; idled for %s", dials, p.IdledFor())
		}
		o.RecordStale(time.Second, time.Now())
		use(200 * time.Millisecond)
		if dials != 2 {
			t.Error("a connection that was idle as long as a stale one was used")
		}
		if use(time.Second); dials != 2 {
			t.Error("a connection that was idle for a moment was not used")
		}
		time.Sleep(idleLimitDuration)
		if use(time.Second); dials != 2 {
			t.Error("long after, connections still may not be idle")
		}
	})
}
