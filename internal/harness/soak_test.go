package harness

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"testing"

	"github.com/sumactrestle/sumactrestle/internal/checker"
	"github.com/sumactrestle/sumactrestle/internal/standin"
)

// Covers each way in which a proxy may end a request that it has read.
func TestSoakClient_FailsOnRequestsWithoutAResponse(t *testing.T) {
	for _, test := range []struct {
		name    string
		respond func(conn net.Conn, request *http.Request)
		fails   bool
		outcome string
	}{
		{"closed without a response", func(net.Conn, *http.Request) {}, true, checker.OutcomeBroken},
		{"response cut off", func(conn net.Conn, _ *http.Request) {
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{")
		}, true, checker.OutcomeBroken},
		{"rejected", func(conn net.Conn, _ *http.Request) {
			io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nSumac-Outcome: not run\r\nContent-Length: 0\r\n\r\n")
		}, false, checker.OutcomeNotRun},
		{"executed", func(conn net.Conn, request *http.Request) {
			body := fmt.Sprintf(`{"call":%q}`, request.Header.Get(standin.HeaderCall))
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nSumac-Outcome: ran\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		}, false, checker.OutcomeRan},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := &soak{run: &run{Options: Options{Shape: soakShape, Output: io.Discard}, history: checker.NewHistory(nil)}}
			near, far := net.Pipe()
			go func() {
				defer far.Close()
				request, err := http.ReadRequest(bufio.NewReader(far))
				if err != nil {
					return
				}
				io.Copy(io.Discard, request.Body)
				test.respond(far, request)
			}()
			client := &soakClient{soak: s, random: rand.New(rand.NewPCG(1, 1)), machine: &Machine{fleet: &Fleet{}}, conn: near, reader: bufio.NewReader(near)}
			defer client.disconnect()
			client.exchange()
			if hasFailed := len(s.failures) > 0; hasFailed != test.fails {
				t.Errorf("failures: %v", s.failures)
			}
			for _, record := range s.history.Records() {
				if record.Kind == checker.RequestCompleted && record.Outcome != test.outcome {
					t.Errorf("recorded outcome %q, want %q: %s", record.Outcome, test.outcome, record.Note)
				}
			}
		})
	}
}
