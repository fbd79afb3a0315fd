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

// newTestTransport returns a transport, its environment and the count of its dials. The dials
// call the functions in turn.
func newTestTransport(t *testing.T, dials ...func(context.Context) (net.Conn, error)) (*Transport, *environment.Environment, *atomic.Int64) {
	t.Helper()
	settings, err := config.Load("", map[string]string{"name": "one", "peer.address": "127.0.0.1:1", "api.address": "127.0.0.1:2", "proxy.address": "127.0.0.1:3", "peer.dial_timeout": "600ms"})
	if err != nil {
		t.Fatal(err)
	}
	dialCount := &atomic.Int64{}
	env := environment.New(context.Background(), settings, eventlog.New(io.Discard, "error", "one"), environment.Host{Dial: func(ctx context.Context, _ string) (net.Conn, error) {
		return dials[int(dialCount.Add(1)-1)%len(dials)](ctx)
	}})
	return New(env), env, dialCount
}

func dialHangs(ctx context.Context) (net.Conn, error) { <-ctx.Done(); return nil, ctx.Err() }

func dialRefused(context.Context) (net.Conn, error) { return nil, errors.New("refused") }

func TestDial_StartsSecondDialWhileFirstHangs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		local, remote := net.Pipe()
		dialSucceeds := func(context.Context) (net.Conn, error) { return local, nil }
		transport, env, _ := newTestTransport(t, dialHangs, dialSucceeds)
		defer func() { remote.Close(); env.Shutdown() }()
		start := time.Now()
		if _, err := transport.clientConn(env, "10.0.0.1:1"); err != nil || time.Since(start) > 250*time.Millisecond {
			t.Error("dial took", time.Since(start), err)
		}
	})
}

func TestDial_DoesNotRetryWhenRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		transport, env, dialCount := newTestTransport(t, dialRefused)
		defer env.Shutdown()
		if _, err := transport.clientConn(env, "10.0.0.1:1"); err == nil || dialCount.Load() != 1 {
			t.Error(dialCount.Load(), "dials,", err)
		}
	})
}

func TestDial_TimesOutWhenAllDialsHang(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		transport, env, dialCount := newTestTransport(t, dialHangs)
		defer env.Shutdown()
		start := time.Now()
		if _, err := transport.clientConn(env, "10.0.0.1:1"); err == nil || time.Since(start) != 600*time.Millisecond || dialCount.Load() != dialAttempts {
			t.Error(dialCount.Load(), "dials, after", time.Since(start), err)
		}
	})
}
