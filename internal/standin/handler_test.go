package standin

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/sumactrestle/sumactrestle/internal/checker"
	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/proxy"
)

// startServer serves s on loopback, without heartbeats, and returns its address.
func startServer(t *testing.T, s *Server) string {
	t.Helper()
	s.History, s.Service, s.Instance, s.SealKey = checker.NewHistory(nil), "bookings", "i1", "key"
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// exchange sends a request on a new connection and returns the raw response.
func exchange(t *testing.T, address, requestID string) string {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprintf(conn, "POST /bookings HTTP/1.1\r\nHost: x\r\nConnection: close\r\n%s: call-%s\r\n%s: %s\r\n%s: i1\r\nContent-Length: 4\r\n\r\nbody", HeaderCall, requestID, proxy.HeaderRequestID, requestID, HeaderExpectedInstance)
	raw, err := io.ReadAll(conn)
	if err != nil {
		t.Fatal(err)
	}
	return string(raw)
}

func TestServer_MisbehavesAsConfigured(t *testing.T) {
	const sealed = proxy.HeaderSeal + ": "
	for misbehavior, test := range map[string]struct {
		opaque     bool
		want       []string
		notWant    []string
		executions int // of the two requests
	}{
		WellBehaved:         {want: []string{"HTTP/1.1 200", sealed, `"call":"call-2"`}, executions: 2},
		CloseUnanswered:     {notWant: []string{"H"}, executions: 2},
		Garbage:             {want: []string{"what is this"}, notWant: []string{"HTTP/1.1"}, executions: 2},
		TruncatedHeader:     {want: []string{"HTTP/1.1 200"}, notWant: []string{"call-2"}, executions: 2},
		TruncatedBody:       {want: []string{"Content-Length", sealed, `{"call"`}, notWant: []string{`"digest"`, "}"}, executions: 2},
		UnframedResponse:    {want: []string{sealed, `"call":"call-2"`}, notWant: []string{"Content-Length"}, executions: 2},
		OversizedResponse:   {want: []string{"HTTP/1.1 200", sealed, `"call":"call-2"`}, executions: 2},
		DuplicateResponse:   {want: []string{"HTTP/1.1 200 OK\r\nContent-Length: "}, executions: 2},
		Unsealed:            {want: []string{`"call":"call-2"`}, notWant: []string{sealed}, executions: 2},
		Failing:             {want: []string{"HTTP/1.1 500", sealed}, executions: 2},
		ContradictoryNotRun: {opaque: true, want: []string{"HTTP/1.1 200", HeaderNotRun + ": 1", sealed}, executions: 2},
		SwappedResponse:     {opaque: true, want: []string{"HTTP/1.1 200", proxy.HeaderRequestID + ": 1", `"call":"call-1"`}, notWant: []string{"call-2"}, executions: 2},
		SurplusResponse:     {want: []string{`"call":"call-1"`, `"call":"call-2"`}, executions: 2},
		Overloaded:          {opaque: true, want: []string{"HTTP/1.1 503", HeaderNotRun + ": 1", proxy.HeaderRequestID + ": 2"}, executions: 1},
	} {
		t.Run("misbehavior "+misbehavior, func(t *testing.T) {
			s := &Server{Opaque: test.opaque, Misbehavior: func(request int64) string {
				if request == 1 {
					return WellBehaved
				}
				return misbehavior
			}}
			address := startServer(t, s)
			exchange(t, address, "1")
			got := exchange(t, address, "2")
			for _, text := range test.want {
				if !strings.Contains(got, text) {
					t.Errorf("response lacks %q: %.500q", text, got)
				}
			}
			for _, text := range test.notWant {
				if strings.Contains(got, text) {
					t.Errorf("response contains %q: %.500q", text, got)
				}
			}
			if misbehavior == DuplicateResponse && strings.Count(got, "HTTP/1.1 200 OK") != 2 {
				t.Errorf("want exactly two responses: %q", got)
			}
			// The body is sent in chunks, so the test counts the padding.
			if misbehavior == OversizedResponse && strings.Count(got, "x") < oversizedPadBytes {
				t.Errorf("response has only %d bytes", len(got))
			}
			executions := 0
			for _, record := range s.History.Records() {
				if record.Kind == checker.RequestExecuted {
					executions++
				}
			}
			if executions != test.executions {
				t.Errorf("%d of two requests executed, want %d", executions, test.executions)
			}
		})
	}
}

func TestServer_RejectsRequestForAnotherInstance(t *testing.T) {
	s := &Server{Opaque: true}
	address := startServer(t, s)
	s.Instance = "i2"
	if got := exchange(t, address, "1"); !strings.HasPrefix(got, "HTTP/1.1 421") || strings.Contains(got, HeaderNotRun) {
		t.Fatalf("%q", got)
	}
	if records := s.History.Records(); len(records) != 1 || records[0].Kind != checker.RequestRejected || records[0].Status != http.StatusMisdirectedRequest {
		t.Fatalf("%+v", records)
	}
}

func TestClient_RecordsOutcomeOfResponse(t *testing.T) {
	for name, test := range map[string]struct {
		misbehavior string
		outcome     string
		note        string // prefix; empty means no note
	}{
		"matching response":  {WellBehaved, "", ""},
		"previous response":  {SwappedResponse, "", "wrong answer: "},
		"truncated response": {TruncatedBody, checker.OutcomeBroken, "unexpected EOF"},
		"no response":        {CloseUnanswered, checker.OutcomeBroken, "Post "},
		"failure":            {Failing, "", `{"call"`},
	} {
		t.Run(name, func(t *testing.T) {
			s := &Server{Misbehavior: func(request int64) string {
				if request == 1 {
					return WellBehaved
				}
				return test.misbehavior
			}}
			address := startServer(t, s)
			client := NewClient(environment.NewHost(""), checker.NewHistory(nil))
			t.Cleanup(client.Close)
			first := client.Call(context.Background(), address, http.MethodPost, "/bookings", "bookings", []byte("one"))
			if first.Status != http.StatusOK || first.Note != "" {
				t.Fatalf("%+v", first)
			}
			record := client.Call(context.Background(), address, http.MethodPost, "/bookings", "bookings", []byte("two"))
			if record.Outcome != test.outcome || !strings.HasPrefix(record.Note, test.note) || test.note == "" && record.Note != "" {
				t.Fatalf("%+v", record)
			}
			if records := client.History.Records(); len(records) != 2 {
				t.Fatalf("%+v", records)
			}
		})
	}
}
