// Approved transcripts of whole exchanges with a fleet: what callers, servers,
// applications and operators send, and what they get. Run with -approve to take
// over what is said now. Ids, stamps of time and addresses are masked.

package simulator

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"sort"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/transcript"

	"context"

	"github.com/sumactrestle/sumactrestle/internal/standin"
)

// script is one exchange: who is spoken to, and what is sent.
type script struct {
	f    *Fleet
	out  bytes.Buffer
	http *http.Client
}

func newScript(f *Fleet) *script {
	n := f.Network.HostAt(f.clientHost(95))
	transport := &http.Transport{DialContext: func(ctx context.Context, _, at string) (net.Conn, error) { return n.Dial(ctx, at) }, IdleConnTimeout: time.Second}
	return &script{f: f, http: &http.Client{Transport: transport, Timeout: 20 * time.Second}}
}

var masks = []struct {
	find *regexp.Regexp
	put  string
}{
	{regexp.MustCompile(`\b[0-9a-f]{32,64}\b`), "<digest>"},
	{regexp.MustCompile(`\b[0-9a-f]{16}\b`), "<id>"},
	{regexp.MustCompile(`10\.\d+\.\d+\.\d+(:\d+)?`), "<address>"},
	{regexp.MustCompile(`Retry-After: \d`), "Retry-After: <seconds>"},
	{regexp.MustCompile(`< Date: .*\n`), ""},
	{regexp.MustCompile(`epoch":\d+`), `epoch":<epoch>`},
	{regexp.MustCompile(`Sumac-Epoch: \d+`), "Sumac-Epoch: <epoch>"},
	{regexp.MustCompile(`"(stamp|fence)":\d+`), `"$1":<stamp>`},
	{regexp.MustCompile(`epoch \d+`), "epoch <epoch>"},
}

func (s *script) say(format string, args ...any) { fmt.Fprintf(&s.out, "# "+format+"\n", args...) }

// send speaks to an address and notes both sides; it returns the body.
func (s *script) send(address, method, path, body string, headers ...string) string {
	fmt.Fprintf(&s.out, "> %s %s\n", method, path)
	request, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		fmt.Fprintln(&s.out, "< ", err)
		return ""
	}
	if body != "" {
		request.Header.Set("Content-Type", "application/json")
		fmt.Fprintf(&s.out, "> %s\n", body)
	}
	for _, h := range headers {
		name, value, _ := strings.Cut(h, ": ")
		request.Header.Set(name, value)
		fmt.Fprintf(&s.out, "> %s\n", h)
	}
	response, err := s.http.Do(request)
	if err != nil {
		fmt.Fprintln(&s.out, "< no answer")
		return ""
	}
	defer response.Body.Close()
	raw, _ := io.ReadAll(response.Body)
	fmt.Fprintf(&s.out, "< %s\n", response.Status)
	var lines []string
	for name, values := range response.Header {
		if name != "Content-Length" {
			lines = append(lines, fmt.Sprintf("< %s: %s\n", name, strings.Join(values, ", ")))
		}
	}
	sort.Strings(lines)
	fmt.Fprintf(&s.out, "%s< %s\n\n", strings.Join(lines, ""), strings.TrimSpace(string(raw)))
	return string(raw)
}

// playScript runs a script against a booted fleet and holds it against the
// approved one.
func playScript(t *testing.T, name string, shape Shape, play func(s *script)) {
	t.Helper()
	var got string
	synctest.Test(t, func(t *testing.T) {
		f := NewFleet(1, shape, io.Discard)
		defer f.Close()
		if err := f.Boot(); err != nil {
			t.Fatal(err)
		}
		s := newScript(f)
		play(s)
		s.http.CloseIdleConnections()
		got = s.out.String()
	})
	for _, m := range masks {
		got = m.find.ReplaceAllString(got, m.put)
	}
	transcript.Compare(t, name+".txt", got)
}

func one() Shape {
	s := Small()
	s.Proxies, s.Targets = 1, map[string]int{"rates": 1, "bookings": 1}
	return s
}

func TestTranscript_Clients(t *testing.T) {
	playScript(t, "callers", one(), func(s *script) {
		gate := s.f.Machine("proxy1").ProxyAddress()
		s.say("a look-up and an order")
		s.send(gate, "GET", "/rates/lane?from=a", "", "X-Call: c1")
		s.send(gate, "POST", "/bookings", `{"n":1}`, "X-Call: c2")
		s.say("a path that nothing leads to")
		s.send(gate, "GET", "/nowhere", "")
		s.say("a service whose only server is gone")
		s.f.Targets("rates")[0].Crash()
		time.Sleep(2500 * time.Millisecond)
		s.send(gate, "GET", "/rates", "")
		s.say("a proxy that was cut off, and has no fresh word of its plan")
		s.f.isolate([]*Machine{s.f.Machine("proxy1")})
		time.Sleep(1500 * time.Millisecond)
		s.send(gate, "POST", "/bookings", `{"n":2}`, "X-Call: c3")
		s.f.Network.Heal()
	})
}

func TestTranscript_MisbehavingTargets(t *testing.T) {
	playScript(t, "wrong-servers", one(), func(s *script) {
		gate := s.f.Machine("proxy1").ProxyAddress()
		for _, way := range []string{standin.CloseUnanswered, standin.Garbage, standin.TruncatedBody, standin.Unsealed} {
			old := s.f.Targets("bookings")[0]
			s.f.replaceTarget(old, func(int64) string { return way })
			time.Sleep(2 * time.Second)
			s.say("the server runs the order and does this: %s", way)
			s.send(gate, "POST", "/bookings", `{"n":1}`, "X-Call: c1")
		}
		s.say("the server answers after the mapping's deadline")
		s.f.replaceTarget(s.f.Targets("bookings")[0], func(int64) string { time.Sleep(5 * time.Second); return standin.WellBehaved })
		time.Sleep(2 * time.Second)
		s.send(gate, "POST", "/bookings", `{"n":1}`, "X-Call: c2")
		time.Sleep(10 * time.Second)
	})
}

func TestTranscript_RepeatedRequests(t *testing.T) {
	shape := one()
	shape.AllowsDuplicates = true
	playScript(t, "repeats", shape, func(s *script) {
		gate := s.f.Machine("proxy1").ProxyAddress()
		s.f.replaceTarget(s.f.Targets("bookings")[0], func(int64) string { return standin.CloseUnanswered })
		time.Sleep(2 * time.Second)
		s.say("an order whose answer is lost; its repeats are refused while the budget is empty")
		s.send(gate, "POST", "/bookings", `{"n":1}`, "X-Call: c1", "Idempotency-Key: k1")
		for range 4 {
			s.send(gate, "POST", "/bookings", `{"n":1}`, "X-Call: c1", "Idempotency-Key: k1")
		}
		s.say("its repeat to a proxy that has no fresh word of its plan, beside a first order")
		s.f.isolate([]*Machine{s.f.Machine("proxy1")})
		time.Sleep(1500 * time.Millisecond)
		s.send(gate, "POST", "/bookings", `{"n":1}`, "X-Call: c1", "Idempotency-Key: k1")
		s.send(gate, "POST", "/bookings", `{"n":2}`, "X-Call: c2", "Idempotency-Key: k2")
		s.f.Network.Heal()
	})
}

func TestTranscript_IdempotencyKeys(t *testing.T) {
	playScript(t, "once", one(), func(s *script) {
		gate := s.f.Machine("proxy1").ProxyAddress()
		s.say("an order, and its repeat")
		s.send(gate, "POST", "/bookings", `{"n":1}`, "X-Call: c1", "Idempotency-Key: k1")
		time.Sleep(time.Second)
		s.send(gate, "POST", "/bookings", `{"n":1}`, "X-Call: c1", "Idempotency-Key: k1")
		s.say("an order whose answer is lost, and its repeat")
		s.f.replaceTarget(s.f.Targets("bookings")[0], func(int64) string { return standin.CloseUnanswered })
		time.Sleep(2 * time.Second)
		s.send(gate, "POST", "/bookings", `{"n":2}`, "X-Call: c2", "Idempotency-Key: k2")
		time.Sleep(time.Second)
		s.send(gate, "POST", "/bookings", `{"n":2}`, "X-Call: c2", "Idempotency-Key: k2")
	})
}

func TestTranscript_Operators(t *testing.T) {
	playScript(t, "operators", one(), func(s *script) {
		api := s.f.Machine("proxy1").APIAddress()
		s.say("a change set against an epoch that is past")
		s.send(api, "POST", "/v1/changes", `{"id":"late","base":0,"put":{"services":[{"name":"slots"}]}}`)
		s.say("one with many faults, none of which is in force")
		s.send(api, "POST", "/v1/changes", `{"id":"bad","base":2,"put":{"services":[{"name":"a b"}],"mappings":[{"name":"m","path":"x","to":[{"service":"none","weight":0}]}],"limits":[{"service":"rates","extra_percent":50}]},"drop":{"mappings":["unknown"]}}`)
		s.send(api, "POST", "/v1/changes", `{"id":"typo","base":2,"puts":{}}`)
		s.send(api, "POST", "/v1/changes", `{"id":`)
		s.say("a good one, its repeat, its id for another, and what became of it")
		s.send(api, "POST", "/v1/changes", `{"id":"slots","base":2,"put":{"services":[{"name":"slots"}],"mappings":[{"name":"slots","path":"/slots","to":[{"service":"slots","weight":1},{"service":"rates","weight":1}]}]}}`)
		s.send(api, "POST", "/v1/changes", `{"id":"slots","base":2,"put":{"services":[{"name":"slots"}],"mappings":[{"name":"slots","path":"/slots","to":[{"service":"slots","weight":1},{"service":"rates","weight":1}]}]}}`)
		s.send(api, "POST", "/v1/changes", `{"id":"slots","base":2,"drop":{"mappings":["rates"]}}`)
		s.send(api, "GET", "/v1/changes/slots", "")
		s.send(api, "GET", "/v1/changes/bad", "")
		s.say("beats that can't be taken")
		s.send(api, "POST", "/v1/beats", `{"service":"rates","instance":"i","seq":1,"address":"host:80","state":"serving"}`)
		s.send(api, "POST", "/v1/beats", `{"service":"rates"}`)
		s.send(api, "POST", "/v1/beats", `{"service":"nobody","instance":"i","seq":1,"address":"10.0.0.1:80","state":"serving"}`)
		s.send(api, "GET", "/v1/nothing", "")
	})
}

func TestTranscript_Applications(t *testing.T) {
	playScript(t, "applications", one(), func(s *script) {
		api := s.f.Machine("proxy1").APIAddress()
		s.say("keys, by stamp")
		s.send(api, "PUT", "/v1/keys", `{"name":"app/a","value":{"x":1},"if":0,"id":"r1"}`)
		s.send(api, "PUT", "/v1/keys", `{"name":"app/a","value":{"x":1},"if":0,"id":"r1"}`)
		s.send(api, "PUT", "/v1/keys", `{"name":"app/a","value":2,"if":0,"id":"r2"}`)
		s.send(api, "GET", "/v1/keys?name=app/a", "")
		s.send(api, "GET", "/v1/keys?name=app/none", "")
		s.send(api, "GET", "/v1/keys/list?prefix=app/", "")
		s.say("a counter, and its repeat by request id")
		s.send(api, "POST", "/v1/counters", `{"name":"orders","id":"r3"}`)
		s.send(api, "POST", "/v1/counters", `{"name":"orders","id":"r3"}`)
		s.send(api, "POST", "/v1/counters", `{"name":"orders","delta":5}`)
		s.say("a lock, held against another, given back, and run out")
		s.send(api, "POST", "/v1/locks/acquire", `{"name":"app/l","holder":"h1","ttl":2000}`)
		s.send(api, "POST", "/v1/locks/acquire", `{"name":"app/l","holder":"h2","ttl":2000}`)
		time.Sleep(3 * time.Second)
		s.send(api, "POST", "/v1/locks/renew", `{"name":"app/l","holder":"h1","fence":1}`)
		s.send(api, "POST", "/v1/locks/acquire", `{"name":"app/l","holder":"h2","ttl":2000}`)
		s.send(api, "POST", "/v1/locks/acquire", `{"name":"app/l","holder":"h3","ttl":1}`)
		s.say("an election")
		s.send(api, "POST", "/v1/elections/campaign", `{"name":"leader","holder":"n1","value":"10.0.0.1","ttl":5000}`)
		s.send(api, "GET", "/v1/elections?name=leader", "")
		s.say("a watch from the start, from a stamp, and with nothing to tell")
		s.send(api, "GET", "/v1/watch?name=app/&from=0", "")
		s.send(api, "GET", "/v1/watch?name=app/&from=1", "")
		s.send(api, "GET", "/v1/watch?name=app/&from=9999&hold=100", "")
	})
}
