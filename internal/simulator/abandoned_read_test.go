package simulator

import (
	"context"
	"testing"
	"time"
)

// TestProxy_ReadWhoseClientHasGoneIsAbandoned: the target is told by the end of its connection,
// soon, and no other target is tried for a caller that is gone.
func TestProxy_ReadWhoseClientHasGoneIsAbandoned(t *testing.T) {
	const soon = 500 * time.Millisecond
	for _, isStay := range []bool{false, true} {
		shape := singleProxyShape()
		shape.Targets = map[string]int{"rates": 2}
		if isStay {
			shape = platformShape(shape)
		}
		inFleet(t, shape, func(t *testing.T, f *Fleet) {
			for _, s := range f.Targets("rates") {
				s.CancelsOnDisconnect, s.ServiceTime = true, 3*time.Second
			}
			dropped := func() (n int64) {
				for _, s := range f.Targets("rates") {
					n += s.Cancelled.Load()
				}
				return n
			}
			caller := f.newClient(5)
			defer caller.Close()
			ctx, leave := context.WithCancel(f.ctx)
			go func() {
				time.Sleep(300 * time.Millisecond)
				leave()
			}()
			caller.Call(ctx, f.Machine("proxy1").ProxyAddress(), "GET", "/rates", "rates", nil)
			if !f.WaitUntil(soon, func() bool { return dropped() > 0 }) {
				t.Error("the target works on")
			}
			time.Sleep(2 * time.Second)
			if n := dropped(); n != 1 {
				t.Errorf("%d targets had the request", n)
			}
		})
	}
}
