// The gate under what callers do: uploads cut half-way, more requests than the
// shares allow, and a server that answers before it has read everything.

package simulator

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/api"
	"github.com/sumactrestle/sumactrestle/internal/checker"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/standin"
)

// inFleet runs a test against a booted fleet.
func inFleet(t *testing.T, shape Shape, play func(t *testing.T, f *Fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := NewFleet(1, shape, io.Discard)
		defer f.Close()
		if err := f.Boot(); err != nil {
			t.Fatal(err)
		}
		play(t, f)
		f.checkConformance(t)
	})
}

func ranOf(f *Fleet, call string) (n int) {
	for _, r := range f.History.Records() {
		if r.Kind == checker.RequestExecuted && r.CallID == call {
			n++
		}
	}
	return n
}

func TestProxy_InterruptedUploadNeverRuns(t *testing.T) {
	inFleet(t, one(), func(t *testing.T, f *Fleet) {
		for i, head := range []string{"Content-Length: 200000", "Transfer-Encoding: chunked"} {
			conn, err := f.Network.HostAt(f.clientHost(3)).Dial(f.ctx, f.Machine("proxy1").ProxyAddress())
			if err != nil {
				t.Fatal(err)
			}
			call := fmt.Sprint("cut", i)
			body := strings.Repeat("x", 100000)
			if i == 1 {
				body = fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
			}
			fmt.Fprintf(conn, "POST /bookings HTTP/1.1\r\nHost: x\r\n%s: %s\r\n%s\r\n\r\n%s", standin.HeaderCall, call, head, body)
			time.Sleep(100 * time.Millisecond)
			conn.Close()
			time.Sleep(4 * time.Second)
			if n := ranOf(f, call); n != 0 {
				t.Errorf("%s: a cut upload ran %d times", head, n)
			}
		}
		caller := standin.NewClient(f.Network.HostAt(f.clientHost(3)), f.History)
		defer caller.Close()
		got := caller.CallWithID(f.ctx, f.Machine("proxy1").ProxyAddress(), "POST", "/bookings", "bookings", []byte(strings.Repeat("y", 500000)), "whole", false)
		if got.Outcome != "ran" || got.Note != "" || ranOf(f, "whole") != 1 {
			t.Errorf("a whole upload: %+v", got)
		}
	})
}

func TestProxy_QuotaSharesFollowStrengthAndTheRestIsRejectedAtOnce(t *testing.T) {
	shape := Small()
	shape.Targets = map[string]int{"bookings": 2, "rates": 1}
	inFleet(t, shape, func(t *testing.T, f *Fleet) {
		client := standin.NewAPIClient(f.Network.HostAt(f.clientHost(4)), f.Cores()[0].APIAddress())
		view, err := client.Epoch(f.ctx)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := client.Submit(f.ctx, &api.Change{ID: "limit", Base: view.Epoch, Put: api.NewOptConfig(api.Config{Limits: []api.Limit{{Service: "bookings", Inflight: api.NewOptInt(8)}}})}); err != nil {
			t.Fatal(err)
		}
		f.Machine("proxy2").Kill(false)
		f.Shape.Settings["strength"] = "300"
		f.startMachine(f.Machine("proxy2"))
		for _, s := range f.Targets("bookings") {
			s.ServiceTime = time.Second
		}
		time.Sleep(3 * time.Second)
		for name, share := range map[string]int{"proxy1": 2, "proxy2": 6} {
			var mu sync.Mutex
			var all sync.WaitGroup
			ran, refused := 0, 0
			for range 20 {
				all.Add(1)
				go func() {
					defer all.Done()
					caller := standin.NewClient(f.Network.HostAt(f.clientHost(5)), f.History)
					defer caller.Close()
					began := time.Now()
					got := caller.Call(context.Background(), f.Machine(name).ProxyAddress(), "POST", "/bookings", "bookings", []byte("{}"))
					mu.Lock()
					defer mu.Unlock()
					switch {
					case got.Outcome == "ran":
						ran++
					case got.Code == errcode.Overload.Number && got.RetryAfter != "" && time.Since(began) < 50*time.Millisecond:
						refused++
					default:
						t.Errorf("%+v after %s", got, time.Since(began))
					}
				}()
			}
			all.Wait()
			if ran != share || refused != 20-share {
				t.Errorf("%s: %d ran and %d were refused at once, its share is %d", name, ran, refused, share)
			}
		}
	})
}

// A part in which no server was ever heard is known to be empty, not unknown.
func TestProxy_ServiceWithoutServersHasNoTarget(t *testing.T) {
	inFleet(t, one(), func(t *testing.T, f *Fleet) {
		client := standin.NewAPIClient(f.Network.HostAt(f.clientHost(4)), f.Cores()[0].APIAddress())
		view, err := client.Epoch(f.ctx)
		if err != nil {
			t.Fatal(err)
		}
		config := api.Config{}
		for i := range 8 {
			name := fmt.Sprint("lonely", i)
			config.Services = append(config.Services, api.Service{Name: name})
			config.Mappings = append(config.Mappings, api.Mapping{Name: name, Path: "/" + name, To: []api.Split{{Service: name, Weight: 1}}})
		}
		if _, err := client.Submit(f.ctx, &api.Change{ID: "lonely", Base: view.Epoch, Put: api.NewOptConfig(config)}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Second)
		caller := standin.NewClient(f.Network.HostAt(f.clientHost(5)), f.History)
		defer caller.Close()
		for i := range 8 {
			if got := caller.Call(f.ctx, f.Machine("proxy1").ProxyAddress(), "POST", fmt.Sprint("/lonely", i), "", nil); got.Code != errcode.NoTarget.Number {
				t.Errorf("lonely%d: code %d", i, got.Code)
			}
		}
	})
}

func TestProxy_TooLargeResponseIsUnknown(t *testing.T) {
	shape := one()
	shape.Settings["proxy.max_response_bytes"] = "4096"
	inFleet(t, shape, func(t *testing.T, f *Fleet) {
		f.replaceTarget(f.Targets("bookings")[0], func(int64) string { return standin.OversizedResponse })
		time.Sleep(2 * time.Second)
		caller := standin.NewClient(f.Network.HostAt(f.clientHost(5)), f.History)
		defer caller.Close()
		got := caller.CallWithID(f.ctx, f.Machine("proxy1").ProxyAddress(), "POST", "/bookings", "bookings", []byte("{}"), "huge", false)
		if got.Code != errcode.ResponseTooLarge.Number || got.Outcome != "unknown" || ranOf(f, "huge") != 1 {
			t.Errorf("%+v, ran %d times", got, ranOf(f, "huge"))
		}
	})
}

// A request that was written into a way that is cut must not arrive when the
// way heals: its plan is long past then, and its caller has been answered.
func TestProxy_RequestHeldBackByPartitionDoesNotArriveLater(t *testing.T) {
	inFleet(t, one(), func(t *testing.T, f *Fleet) {
		proxyNode, server := f.Machine("proxy1"), f.Targets("bookings")[0]
		caller := standin.NewClient(f.Network.HostAt(f.clientHost(5)), f.History)
		defer caller.Close()
		warm := caller.CallWithID(f.ctx, proxyNode.ProxyAddress(), "POST", "/bookings", "bookings", []byte("{}"), "warm", false)
		f.Network.Partition(proxyNode.IP, hostOf(server.Address))
		held := caller.CallWithID(f.ctx, proxyNode.ProxyAddress(), "POST", "/bookings", "bookings", []byte("{}"), "held", false)
		f.Network.Heal()
		time.Sleep(5 * time.Second)
		if warm.Outcome != "ran" || held.Outcome != "unknown" || ranOf(f, "held") != 0 {
			t.Errorf("%+v, ran %d times", held, ranOf(f, "held"))
		}
	})
}

// The same for a body that streams: its head must be taken by the server within
// the short patience, or nothing of the body goes out; so it has not run, and its client is
// told so.
func TestProxy_UploadHeldBackByPartitionDoesNotArriveLater(t *testing.T) {
	inFleet(t, one(), func(t *testing.T, f *Fleet) {
		proxyNode, server := f.Machine("proxy1"), f.Targets("bookings")[0]
		caller := standin.NewClient(f.Network.HostAt(f.clientHost(5)), f.History)
		defer caller.Close()
		body := []byte(strings.Repeat("x", 300000))
		warm := caller.CallWithID(f.ctx, proxyNode.ProxyAddress(), "POST", "/bookings", "bookings", body, "warm", false)
		f.Network.Partition(proxyNode.IP, hostOf(server.Address))
		time.AfterFunc(2600*time.Millisecond, f.Network.Heal)
		held := caller.CallWithID(f.ctx, proxyNode.ProxyAddress(), "POST", "/bookings", "bookings", body, "held", false)
		time.Sleep(5 * time.Second)
		if warm.Outcome != "ran" || held.Outcome != "not run" || ranOf(f, "held") != 0 {
			t.Errorf("%+v\n%+v, ran %d times", warm, held, ranOf(f, "held"))
		}
		if took := held.At - held.Start; took > 2*time.Second {
			t.Errorf("it was given up after %s", took)
		}
	})
}
