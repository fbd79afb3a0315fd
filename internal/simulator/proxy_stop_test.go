// A proxy that is stopped as planned answers whatever it has read, also what does not come to
// its end in time.

package simulator

import (
	"strings"
	"testing"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/checker"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
)

func stoppingShape() Shape {
	shape := one()
	shape.Settings["shutdown.grace_period"] = "3s"
	shape.Settings["proxy.drain_delay"] = "500ms"
	return shape
}

// callWhileStopping sends a request to a proxy, stops that a little later, and returns how the
// request ended, and when the proxy was stopped.
func (f *Fleet) callWhileStopping(proxy *Machine, method, path string, body []byte) (checker.Record, time.Time) {
	ended := make(chan checker.Record, 1)
	caller := f.newClient(3)
	service, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	go func() { ended <- caller.Call(f.ctx, proxy.ProxyAddress(), method, path, service, body) }()
	time.Sleep(200 * time.Millisecond)
	began := time.Now()
	stopped := make(chan struct{})
	go func() {
		proxy.Stop()
		close(stopped)
	}()
	record := <-ended
	<-stopped
	return record, began
}

func TestProxy_StopAnswersRequestThatOutlastsIt(t *testing.T) {
	inFleet(t, stoppingShape(), func(t *testing.T, f *Fleet) {
		for _, s := range f.Targets("bookings") {
			s.ServiceTime = 8 * time.Second
		}
		record, _ := f.callWhileStopping(f.Machine("proxy1"), "POST", "/bookings", []byte("x"))
		if record.Outcome != checker.OutcomeUnknown || record.Code == 0 {
			t.Errorf("a request that a target works on for longer than the stop ended %q with code %d: %s", record.Outcome, record.Code, record.Note)
		}
	})
}

func TestProxy_StopRefusesUploadWhoseTurnComesTooLate(t *testing.T) {
	shape := stoppingShape()
	shape.Settings["shutdown.grace_period"], shape.Settings["proxy.drain_delay"] = "500ms", "100ms"
	// The first upload takes the link for 0.78 s, and the next one waits for it; the stop is
	// over after 0.75 s.
	shape.Settings["proxy.large_body_rate"] = "255"
	shape.Settings["proxy.max_large_bodies"] = "1"
	inFleet(t, shape, func(t *testing.T, f *Fleet) {
		proxy, upload := f.Machine("proxy1"), []byte(strings.Repeat("x", 200_000))
		first := f.newClient(4)
		go first.Call(f.ctx, proxy.ProxyAddress(), "POST", "/bookings", "bookings", upload)
		time.Sleep(50 * time.Millisecond)
		record, _ := f.callWhileStopping(proxy, "POST", "/bookings", upload)
		if record.Outcome != checker.OutcomeNotRun || record.Code != errcode.Stopping.Number {
			t.Errorf("an upload that waits for its turn ended %q with code %d: %s", record.Outcome, record.Code, record.Note)
		}
	})
}
