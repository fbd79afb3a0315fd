// The proxy under difficult requests: interrupted uploads, more requests than the quota shares
// allow, services without targets, oversized responses, and requests delayed by a partition.

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

// inFleet runs a test on a booted fleet in virtual time.
func inFleet(t *testing.T, shape Shape, test func(t *testing.T, f *Fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := NewFleet(1, shape, io.Discard)
		defer f.Close()
		if err := f.Boot(); err != nil {
			t.Fatal(err)
		}
		test(t, f)
		f.checkConformance(t)
	})
}

func countExecutions(f *Fleet, callID string) (n int) {
	for _, r := range f.History.Records() {
		if r.Kind == checker.RequestExecuted && r.CallID == callID {
			n++
		}
	}
	return n
}

func TestProxy_InterruptedUploadNeverRuns(t *testing.T) {
	inFleet(t, singleProxyShape(), func(t *testing.T, f *Fleet) {
		for i, framing := range []string{"Content-Length: 200000", "Transfer-Encoding: chunked"} {
			conn, err := f.Network.HostAt(f.clientHost(3)).Dial(f.ctx, f.Machine("proxy1").ProxyAddress())
			if err != nil {
				t.Fatal(err)
			}
			callID := fmt.Sprint("cut", i)
			body := strings.Repeat("x", 100000)
			if i == 1 {
				body = fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
			}
			fmt.Fprintf(conn, "POST /bookings HTTP/1.1\r\nHost: x\r\n%s: %s\r\n%s\r\n\r\n%s", standin.HeaderCall, callID, framing, body)
			time.Sleep(100 * time.Millisecond)
			conn.Close()
			time.Sleep(4 * time.Second)
			if n := countExecutions(f, callID); n != 0 {
				t.Errorf("%s: an interrupted upload ran %d times", framing, n)
			}
		}
		client := standin.NewClient(f.Network.HostAt(f.clientHost(3)), f.History)
		defer client.Close()
		record := client.CallWithID(f.ctx, f.Machine("proxy1").ProxyAddress(), "POST", "/bookings", "bookings", []byte(strings.Repeat("y", 500000)), "whole", false)
		if record.Outcome != "ran" || record.Note != "" || countExecutions(f, "whole") != 1 {
			t.Errorf("a complete upload: %+v", record)
		}
	})
}

func TestProxy_QuotaSharesFollowStrengthAndExcessIsRejectedAtOnce(t *testing.T) {
	shape := Small()
	shape.Targets = map[string]int{"bookings": 2, "rates": 1}
	inFleet(t, shape, func(t *testing.T, f *Fleet) {
		apiClient := standin.NewAPIClient(f.Network.HostAt(f.clientHost(4)), f.Cores()[0].APIAddress())
		view, err := apiClient.Epoch(f.ctx)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := apiClient.Submit(f.ctx, &api.Change{ID: "limit", Base: view.Epoch, Put: api.NewOptConfig(api.Config{Limits: []api.Limit{{Service: "bookings", Inflight: api.NewOptInt(8)}}})}); err != nil {
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
			var wg sync.WaitGroup
			ran, rejected := 0, 0
			for range 20 {
				wg.Add(1)
				go func() {
					defer wg.Done()
					client := standin.NewClient(f.Network.HostAt(f.clientHost(5)), f.History)
					defer client.Close()
					start := time.Now()
					record := client.Call(context.Background(), f.Machine(name).ProxyAddress(), "POST", "/bookings", "bookings", []byte("{}"))
					mu.Lock()
					defer mu.Unlock()
					switch {
					case record.Outcome == "ran":
						ran++
					case record.Code == errcode.Overload.Number && record.RetryAfter != "" && time.Since(start) < 50*time.Millisecond:
						rejected++
					default:
						t.Errorf("%+v after %s", record, time.Since(start))
					}
				}()
			}
			wg.Wait()
			if ran != share || rejected != 20-share {
				t.Errorf("%s: %d ran and %d were rejected at once, the quota share is %d", name, ran, rejected, share)
			}
		}
	})
}

// A shard that has never received a heartbeat has no targets, rather than targets that are not known
// yet.
func TestProxy_ServiceWithoutTargetsIsRejected(t *testing.T) {
	inFleet(t, singleProxyShape(), func(t *testing.T, f *Fleet) {
		apiClient := standin.NewAPIClient(f.Network.HostAt(f.clientHost(4)), f.Cores()[0].APIAddress())
		view, err := apiClient.Epoch(f.ctx)
		if err != nil {
			t.Fatal(err)
		}
		config := api.Config{}
		for i := range 8 {
			name := fmt.Sprint("lonely", i)
			config.Services = append(config.Services, api.Service{Name: name})
			config.Mappings = append(config.Mappings, api.Mapping{Name: name, Path: "/" + name, To: []api.Split{{Service: name, Weight: 1}}})
		}
		if _, err := apiClient.Submit(f.ctx, &api.Change{ID: "lonely", Base: view.Epoch, Put: api.NewOptConfig(config)}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Second)
		client := standin.NewClient(f.Network.HostAt(f.clientHost(5)), f.History)
		defer client.Close()
		for i := range 8 {
			if got := client.Call(f.ctx, f.Machine("proxy1").ProxyAddress(), "POST", fmt.Sprint("/lonely", i), "", nil); got.Code != errcode.NoTarget.Number {
				t.Errorf("lonely%d: code %d", i, got.Code)
			}
		}
	})
}

func TestProxy_TooLargeResponseHasUnknownOutcome(t *testing.T) {
	shape := singleProxyShape()
	shape.Settings["proxy.max_response_bytes"] = "4096"
	inFleet(t, shape, func(t *testing.T, f *Fleet) {
		f.replaceTarget(f.Targets("bookings")[0], func(int64) string { return standin.OversizedResponse })
		time.Sleep(2 * time.Second)
		client := standin.NewClient(f.Network.HostAt(f.clientHost(5)), f.History)
		defer client.Close()
		record := client.CallWithID(f.ctx, f.Machine("proxy1").ProxyAddress(), "POST", "/bookings", "bookings", []byte("{}"), "huge", false)
		if record.Code != errcode.ResponseTooLarge.Number || record.Outcome != "unknown" || countExecutions(f, "huge") != 1 {
			t.Errorf("%+v, ran %d times", record, countExecutions(f, "huge"))
		}
	})
}

// A request written to a partitioned connection must not arrive when the partition heals: by then
// its epoch is outdated and its client has a response.
func TestProxy_RequestHeldBackByPartitionDoesNotArriveLater(t *testing.T) {
	inFleet(t, singleProxyShape(), func(t *testing.T, f *Fleet) {
		proxyNode, target := f.Machine("proxy1"), f.Targets("bookings")[0]
		client := standin.NewClient(f.Network.HostAt(f.clientHost(5)), f.History)
		defer client.Close()
		warm := client.CallWithID(f.ctx, proxyNode.ProxyAddress(), "POST", "/bookings", "bookings", []byte("{}"), "warm", false)
		f.Network.Partition(proxyNode.IP, hostOf(target.Address))
		held := client.CallWithID(f.ctx, proxyNode.ProxyAddress(), "POST", "/bookings", "bookings", []byte("{}"), "held", false)
		f.Network.Heal()
		time.Sleep(5 * time.Second)
		if warm.Outcome != "ran" || held.Outcome != "unknown" || countExecutions(f, "held") != 0 {
			t.Errorf("%+v, ran %d times", held, countExecutions(f, "held"))
		}
	})
}

// The body of a streamed upload is sent only if the target answers the header with 100 Continue
// within a second. Otherwise the upload has not run, and its client gets that outcome.
func TestProxy_UploadHeldBackByPartitionDoesNotArriveLater(t *testing.T) {
	inFleet(t, singleProxyShape(), func(t *testing.T, f *Fleet) {
		proxyNode, target := f.Machine("proxy1"), f.Targets("bookings")[0]
		client := standin.NewClient(f.Network.HostAt(f.clientHost(5)), f.History)
		defer client.Close()
		body := []byte(strings.Repeat("x", 300000))
		warm := client.CallWithID(f.ctx, proxyNode.ProxyAddress(), "POST", "/bookings", "bookings", body, "warm", false)
		f.Network.Partition(proxyNode.IP, hostOf(target.Address))
		time.AfterFunc(2600*time.Millisecond, f.Network.Heal)
		held := client.CallWithID(f.ctx, proxyNode.ProxyAddress(), "POST", "/bookings", "bookings", body, "held", false)
		time.Sleep(5 * time.Second)
		if warm.Outcome != "ran" || held.Outcome != "not run" || countExecutions(f, "held") != 0 {
			t.Errorf("%+v\n%+v, ran %d times", warm, held, countExecutions(f, "held"))
		}
		if elapsed := held.At - held.Start; elapsed > 2*time.Second {
			t.Errorf("the upload was abandoned only after %s", elapsed)
		}
	})
}
