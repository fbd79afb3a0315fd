// The epoch that a proxy sends with a request, and the outcome of an upload whose body was not sent.
//
// Epoch: a proxy routes a request under the active epoch and may then wait for the body, for a
// connection or for other targets. Before the first byte it checks that the active epoch has the
// same route, but the request used to carry the epoch under which it was routed. Under heavy load,
// requests that had waited for 1.4 to 2.9 s reached their target over a second after a newer epoch
// was acknowledged, although no process had stalled for more than 0.36 s.
//
// Upload: a proxy sends the header of a streamed upload with "Expect: 100-continue". Without a 100
// Continue within a second nothing can have run, but the client got an unknown outcome, and no other
// target was tried.

package simulator

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/checker"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/standin"
)

func TestProxy_RequestNamesEpochActiveWhenSent(t *testing.T) {
	inFleet(t, singleProxyShape(), func(t *testing.T, f *Fleet) {
		conn, err := f.Network.HostAt(f.clientHost(3)).Dial(f.ctx, f.Machine("proxy1").ProxyAddress())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		fmt.Fprintf(conn, "POST /bookings HTTP/1.1\r\nHost: x\r\n%s: slow\r\nContent-Length: 2\r\n\r\nx", standin.HeaderCall)
		time.Sleep(100 * time.Millisecond)
		operator := f.newOperator(40, f.Cores()[0])
		view, err := operator.Epoch(f.ctx)
		if err != nil {
			t.Fatal(err)
		}
		receipt, err := operator.Submit(f.ctx, f.newChangeSet(f.Rand, "meanwhile", view))
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(2200 * time.Millisecond)
		io.WriteString(conn, "x")
		time.Sleep(300 * time.Millisecond)
		records := executions(f, "slow")
		if len(records) != 1 || records[0].Epoch < receipt.Epoch {
			t.Errorf("sent 2.2 s after epoch %d was acknowledged: %+v", receipt.Epoch, records)
		}
		for _, violation := range checker.Check(f.History.Records()).Violations {
			if violation.Rule == "old-plan" {
				t.Errorf("%+v", violation)
			}
		}
	})
}

func executions(f *Fleet, callID string) (records []checker.Record) {
	for _, r := range f.History.Records() {
		if r.Kind == checker.RequestExecuted && r.CallID == callID {
			records = append(records, r)
		}
	}
	return records
}

// A target that sends no 100 Continue within a second has received only the header. Another target is
// tried, and without one the upload has not run.
func TestProxy_UploadWithoutContinueIsNotRun(t *testing.T) {
	upload := []byte(strings.Repeat("x", 200_000))
	inFleet(t, singleProxyShape(), func(t *testing.T, f *Fleet) {
		f.Targets("bookings")[0].HeadDelay = 1200 * time.Millisecond
		client := f.newClient(3)
		record := client.Call(f.ctx, f.Machine("proxy1").ProxyAddress(), "POST", "/bookings", "bookings", upload)
		if record.Outcome != checker.OutcomeNotRun || record.Code != errcode.NotWritten.Number || record.RetryAfter == "" {
			t.Errorf("the only target sends no 100 Continue: %+v", record)
		}
		time.Sleep(3 * time.Second)
		if records := executions(f, record.CallID); len(records) != 0 {
			t.Errorf("the upload ran: %+v", records)
		}
	})
	shape := singleProxyShape()
	shape.Targets["bookings"] = 2
	inFleet(t, shape, func(t *testing.T, f *Fleet) {
		for i, target := range f.Targets("bookings") {
			target.HeadDelay = 1200 * time.Millisecond
			client := f.newClient(3 + i)
			record := client.Call(f.ctx, f.Machine("proxy1").ProxyAddress(), "POST", "/bookings", "bookings", upload)
			if record.Outcome != checker.OutcomeRan || len(executions(f, record.CallID)) != 1 {
				t.Errorf("one of two targets sends no 100 Continue: %+v", record)
			}
			target.HeadDelay = 0
			time.Sleep(5 * time.Second)
		}
	})
}

func TestProxy_ShutdownRejectsUploadWithoutContinue(t *testing.T) {
	shape := shutdownShape()
	shape.Settings["shutdown.grace_period"], shape.Settings["proxy.drain_delay"] = "800ms", "500ms"
	inFleet(t, shape, func(t *testing.T, f *Fleet) {
		f.Targets("bookings")[0].HeadDelay = 900 * time.Millisecond
		record, _ := f.callDuringShutdown(f.Machine("proxy1"), "POST", "/bookings", []byte(strings.Repeat("x", 200_000)))
		if record.Outcome != checker.OutcomeNotRun || record.Code != errcode.Stopping.Number {
			t.Errorf("the proxy stops before the target sends 100 Continue: %+v", record)
		}
		time.Sleep(2 * time.Second)
		if records := executions(f, record.CallID); len(records) != 0 {
			t.Errorf("the upload ran: %+v", records)
		}
	})
}
