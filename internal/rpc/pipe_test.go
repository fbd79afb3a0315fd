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

// dialled is a wire whose n-th dial does what the n-th verb does.
func dialled(t *testing.T, verbs ...func(context.Context) (net.Conn, error)) (*Transport, *environment.Environment, *atomic.Int64) {
	t.Helper()
	p, err := config.Load("", map[string]string{"name": "one", "wire.address": "127.0.0.1:1", "api.address": "127.0.0.1:2", "gate.address": "127.0.0.1:3", "wire.dial": "600ms"})
	if err != nil {
		t.Fatal(err)
	}
	count := &atomic.Int64{}
	r := environment.New(context.Background(), p, eventlog.New(io.Discard, "error", "one"), environment.Host{Dial: func(ctx context.Context, _ string) (net.Conn, error) {
		return verbs[int(count.Add(1)-1)%len(verbs)](ctx)
	}})
	return New(r), r, count
}

func hangs(ctx context.Context) (net.Conn, error) { <-ctx.Done(); return nil, ctx.Err() }

func refuses(context.Context) (net.Conn, error) { return nil, errors.New("refused") }

func TestADialThatHangsIsTriedAgainBesideIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		here, there := net.Pipe()
		opens := func(context.Context) (net.Conn, error) { return here, nil }
		w, r, _ := dialled(t, hangs, opens)
		defer func() { there.Close(); r.Shutdown() }()
		began := time.Now()
		if _, err := w.clientConn(r, "10.0.0.1:1"); err != nil || time.Since(began) > 250*time.Millisecond {
			t.Error("after", time.Since(began), err)
		}
	})
}

func TestADialThatIsRefusedIsNotTriedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, r, count := dialled(t, refuses)
		defer r.Shutdown()
		if _, err := w.clientConn(r, "10.0.0.1:1"); err == nil || count.Load() != 1 {
			t.Error(count.Load(), "dials,", err)
		}
	})
}

func TestADialThatHangsEndsInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, r, count := dialled(t, hangs)
		defer r.Shutdown()
		began := time.Now()
		if _, err := w.clientConn(r, "10.0.0.1:1"); err == nil || time.Since(began) != 600*time.Millisecond || count.Load() != dialAttempts {
			t.Error(count.Load(), "dials, after", time.Since(began), err)
		}
	})
}
