// A proxy answers every request that it has read before its planned shutdown ends, including those
// that don't finish within the grace period.

package simulator

import (
	"strings"
	"testing"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/checker"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
)

func shutdownShape() Shape {
	shape := singleProxyShape()
	shape.Settings["shutdown.grace_period"] = "3s"
	shape.Settings["proxy.drain_delay"] = "500ms"
	return shape
}

// callDuringShutdown sends a request to a proxy and starts the proxy's shutdown 200 ms later. It
// returns the request's record and the time at which the shutdown started.
func (f *Fleet) callDuringShutdown(proxy *Machine, method, path string, body []byte) (checker.Record, time.Time) {
	records := make(chan checker.Record, 1)
	client := f.newClient(3)
	service, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	go func() { records <- client.Call(f.ctx, proxy.ProxyAddress(), method, path, service, body) }()
	time.Sleep(200 * time.Millisecond)
	shutdownStart := time.Now()
	stopped := make(chan struct{})
	go func() {
		proxy.Stop()
		close(stopped)
	}()
	record := <-records
	<-stopped
	return record, shutdownStart
}

func TestProxy_ShutdownAnswersRequestThatOutlastsGracePeriod(t *testing.T) {
	inFleet(t, shutdownShape(), func(t *testing.T, f *Fleet) {
		for _, s := range f.Targets("bookings") {
			s.ServiceTime = 8 * time.Second
		}
		record, _ := f.callDuringShutdown(f.Machine("proxy1"), "POST", "/bookings", []byte("x"))
		if record.Outcome != checker.OutcomeUnknown || record.Code == 0 {
			t.Errorf("a request that takes longer than the grace period ended %q with code %d: %s", record.Outcome, record.Code, record.Note)
		}
	})
}

func TestProxy_ShutdownRejectsQueuedUpload(t *testing.T) {
	shape := shutdownShape()
	shape.Settings["shutdown.grace_period"], shape.Settings["proxy.drain_delay"] = "500ms", "100ms"
	// The first upload occupies the link for 0.78 s and the second one is queued behind it; the
	// shutdown ends after 0.75 s.
	shape.Settings["proxy.large_body_rate"] = "255"
	shape.Settings["proxy.max_large_bodies"] = "1"
	inFleet(t, shape, func(t *testing.T, f *Fleet) {
		proxy, upload := f.Machine("proxy1"), []byte(strings.Repeat("x", 200_000))
		first := f.newClient(4)
		go first.Call(f.ctx, proxy.ProxyAddress(), "POST", "/bookings", "bookings", upload)
		time.Sleep(50 * time.Millisecond)
		record, _ := f.callDuringShutdown(proxy, "POST", "/bookings", upload)
		if record.Outcome != checker.OutcomeNotRun || record.Code != errcode.Stopping.Number {
			t.Errorf("a queued upload ended %q with code %d: %s", record.Outcome, record.Code, record.Note)
		}
	})
}
