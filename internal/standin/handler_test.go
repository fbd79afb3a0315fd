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

// startServer serves a stand-in on loopback, without heartbeats, and returns its address.
func startServer(t *testing.T, s *Server) string {
	t.Helper()
	s.History, s.Service, s.Instance, s.SealKey = checker.NewHistory(nil), "bookings", "i1", "key"
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// exchange sends a request on a connection of its own and returns all that comes back.
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

func TestServer_AnswersByItsMisbehavior(t *testing.T) {
	const sealed = proxy.HeaderSeal + ": "
	for misbehavior, test := range map[string]struct {
		opaque bool
		holds  []string
		lacks  []string
		runs   int // of two requests
	}{
		WellBehaved:         {holds: []string{"HTTP/1.1 200", sealed, `"call":"call-2"`}, runs: 2},
		CloseUnanswered:     {lacks: []string{"H"}, runs: 2},
		Garbage:             {holds: []string{"what is this"}, lacks: []string{"HTTP/1.1"}, runs: 2},
		TruncatedHeader:     {holds: []string{"HTTP/1.1 200"}, lacks: []string{"call-2"}, runs: 2},
		TruncatedBody:       {holds: []string{"Content-Length", sealed, `{"call"`}, lacks: []string{`"digest"`, "}"}, runs: 2},
		UnframedResponse:    {holds: []string{sealed, `"call":"call-2"`}, lacks: []string{"Content-Length"}, runs: 2},
		OversizedResponse:   {holds: []string{"HTTP/1.1 200", sealed, `"call":"call-2"`}, runs: 2},
		DuplicateResponse:   {holds: []string{"HTTP/1.1 200 OK\r\nContent-Length: "}, runs: 2},
		Unsealed:            {holds: []string{`"call":"call-2"`}, lacks: []string{sealed}, runs: 2},
		Failing:             {holds: []string{"HTTP/1.1 500", sealed}, runs: 2},
		ContradictoryNotRun: {opaque: true, holds: []string{"HTTP/1.1 200", HeaderNotRun + ": 1", sealed}, runs: 2},
		SwappedResponse:     {opaque: true, holds: []string{"HTTP/1.1 200", proxy.HeaderRequestID + ": 1", `"call":"call-1"`}, lacks: []string{"call-2"}, runs: 2},
		SurplusResponse:     {holds: []string{`"call":"call-1"`, `"call":"call-2"`}, runs: 2},
		Overloaded:          {opaque: true, holds: []string{"HTTP/1.1 503", HeaderNotRun + ": 1", proxy.HeaderRequestID + ": 2"}, runs: 1},
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
			for _, text := range test.holds {
				if !strings.Contains(got, text) {
					t.Errorf("lacks %q: %.500q", text, got)
				}
			}
			for _, text := range test.lacks {
				if strings.Contains(got, text) {
					t.Errorf("holds %q: %.500q", text, got)
				}
			}
			if misbehavior == DuplicateResponse && strings.Count(got, "HTTP/1.1 200 OK") != 2 {
				t.Errorf("not two responses: %q", got)
			}
			// The long body comes in chunks, so its padding is counted.
			if misbehavior == OversizedResponse && strings.Count(got, "x") < oversizedPad {
				t.Errorf("only %d bytes", len(got))
			}
			runs := 0
			for _, record := range s.History.Records() {
				if record.Kind == checker.RequestExecuted {
					runs++
				}
			}
			if runs != test.runs {
				t.Errorf("%d of two requests ran, want %d", runs, test.runs)
			}
		})
	}
}

func TestServer_RejectsWhatIsMeantForAnotherInstance(t *testing.T) {
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

func TestClient_KnowsItsOwnResponse(t *testing.T) {
	for name, test := range map[string]struct {
		misbehavior string
		outcome     string
		note        string // how it begins
	}{
		"its own":     {WellBehaved, "", ""},
		"another's":   {SwappedResponse, "", "wrong answer: "},
		"cut short":   {TruncatedBody, checker.OutcomeBroken, "unexpected EOF"},
		"no response": {CloseUnanswered, checker.OutcomeBroken, "Post "},
		"a failure":   {Failing, "", `{"call"`},
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
