package rpc

import (
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/config"
	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/eventlog"
)

// newDialer returns a transport whose n-th dial is done by the n-th of the functions, and the
// count of its dials.
func newDialer(t *testing.T, dials ...func(context.Context) (net.Conn, error)) (*Transport, *environment.Environment, *atomic.Int64) {
	t.Helper()
	settings, err := config.Load("", map[string]string{"name": "one", "peer.address": "127.0.0.1:1", "api.address": "127.0.0.1:2", "proxy.address": "127.0.0.1:3", "peer.dial_timeout": "600ms"})
	if err != nil {
		t.Fatal(err)
	}
	count := &atomic.Int64{}
	env := environment.New(context.Background(), settings, eventlog.New(io.Discard, "error", "one"), environment.Host{Dial: func(ctx context.Context, _ string) (net.Conn, error) {
		return dials[int(count.Add(1)-1)%len(dials)](ctx)
	}})
	return New(env), env, count
}

func hangs(ctx context.Context) (net.Conn, error) { <-ctx.Done(); return nil, ctx.Err() }

func refuses(context.Context) (net.Conn, error) { return nil, errors.New("refused") }

func TestDial_ThatHangsIsRepeatedBesideIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		here, there := net.Pipe()
		opens := func(context.Context) (net.Conn, error) { return here, nil }
		transport, env, _ := newDialer(t, hangs, opens)
		defer func() { there.Close(); env.Shutdown() }()
		began := time.Now()
		if _, err := transport.clientConn(env, "10.0.0.1:1"); err != nil || time.Since(began) > 250*time.Millisecond {
			t.Error("after", time.Since(began), err)
		}
	})
}

func TestDial_ThatIsRefusedIsNotRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		transport, env, count := newDialer(t, refuses)
		defer env.Shutdown()
		if _, err := transport.clientConn(env, "10.0.0.1:1"); err == nil || count.Load() != 1 {
			t.Error(count.Load(), "dials,", err)
		}
	})
}

func TestDial_ThatHangsTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		transport, env, count := newDialer(t, hangs)
		defer env.Shutdown()
		began := time.Now()
		if _, err := transport.clientConn(env, "10.0.0.1:1"); err == nil || time.Since(began) != 600*time.Millisecond || count.Load() != dialAttempts {
			t.Error(count.Load(), "dials, after", time.Since(began), err)
		}
	})
}
