package simulator

import (
	"context"
	"testing"
	"time"
)

// When the client disconnects, the proxy must promptly close its connection to the target, so that
// the target cancels the read, and must not try another target.
func TestProxy_ReadIsCanceledWhenClientDisconnects(t *testing.T) {
	const cancelTimeout = 500 * time.Millisecond
	for _, isPlatformMode := range []bool{false, true} {
		shape := singleProxyShape()
		shape.Targets = map[string]int{"rates": 2}
		if isPlatformMode {
			shape = platformShape(shape)
		}
		inFleet(t, shape, func(t *testing.T, f *Fleet) {
			for _, s := range f.Targets("rates") {
				s.CancelsOnDisconnect, s.ServiceTime = true, 3*time.Second
			}
			canceled := func() (n int64) {
				for _, s := range f.Targets("rates") {
					n += s.Canceled.Load()
				}
				return n
			}
			client := f.newClient(5)
			defer client.Close()
			ctx, disconnect := context.WithCancel(f.ctx)
			go func() {
				time.Sleep(300 * time.Millisecond)
				disconnect()
			}()
			client.Call(ctx, f.Machine("proxy1").ProxyAddress(), "GET", "/rates", "rates", nil)
			if !f.WaitUntil(cancelTimeout, func() bool { return canceled() > 0 }) {
				t.Error("the target did not cancel the read")
			}
			time.Sleep(2 * time.Second)
			if n := canceled(); n != 1 {
				t.Errorf("%d targets canceled the read, want 1", n)
			}
		})
	}
}
