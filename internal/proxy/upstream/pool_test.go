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

func TestPool_IdleTimeIsLimitedAfterStaleConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dials := 0
		env := environment.New(t.Context(), &config.Settings{}, nil, environment.Host{Dial: func(context.Context, string) (net.Conn, error) {
			dials++
			clientSide, _ := net.Pipe()
			return clientSide, nil
		}})
		defer env.Shutdown()
		pool := NewPool(Config{Environment: env, IdleTimeout: 20 * time.Second})
		defer pool.Prune(func(string) bool { return false })
		// use gets a connection, returns it to the pool, and waits.
		use := func(idle time.Duration) *Connection {
			connection, err := pool.Get(env, "s", "t", time.Second)
			if err != nil {
				t.Fatal(err)
			}
			pool.Put("s", connection)
			time.Sleep(idle)
			return connection
		}
		use(time.Second)
		if connection := use(time.Second); dials != 1 || connection.IdledFor() != time.Second {
			t.Fatalf("%d dials, idle for %s; want 1 dial, idle for 1s", dials, connection.IdledFor())
		}
		pool.RecordStale(time.Second, time.Now())
		use(200 * time.Millisecond)
		if dials != 2 {
			t.Error("a connection was used after the idle time of a stale one")
		}
		if use(time.Second); dials != 2 {
			t.Error("a connection was not used after a short idle time")
		}
		time.Sleep(idleLimitDuration)
		if use(time.Second); dials != 2 {
			t.Error("the idle limit still applies after idleLimitDuration")
		}
	})
}
