// Approved transcripts of HTTP exchanges with a fleet: the requests of clients, operators and
// applications, and the responses. Run with -approve to accept the current transcripts. IDs, epochs,
// stamps and addresses are masked.

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

// session sends HTTP requests to a fleet and records requests and responses as text.
type session struct {
	fleet  *Fleet
	text   bytes.Buffer
	client *http.Client
}

func newSession(f *Fleet) *session {
	host := f.Network.HostAt(f.clientHost(95))
	transport := &http.Transport{DialContext: func(ctx context.Context, _, address string) (net.Conn, error) { return host.Dial(ctx, address) }, IdleConnTimeout: time.Second}
	return &session{fleet: f, client: &http.Client{Transport: transport, Timeout: 20 * time.Second}}
}

var masks = []struct {
	pattern     *regexp.Regexp
	replacement string
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

func (s *session) comment(format string, args ...any) {
	fmt.Fprintf(&s.text, "# "+format+"\n", args...)
}

// send sends a request, records it and its response, and returns the response body.
func (s *session) send(address, method, path, body string, headers ...string) string {
	fmt.Fprintf(&s.text, "> %s %s\n", method, path)
	request, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		fmt.Fprintln(&s.text, "< ", err)
		return ""
	}
	if body != "" {
		request.Header.Set("Content-Type", "application/json")
		fmt.Fprintf(&s.text, "> %s\n", body)
	}
	for _, h := range headers {
		name, value, _ := strings.Cut(h, ": ")
		request.Header.Set(name, value)
		fmt.Fprintf(&s.text, "> %s\n", h)
	}
	response, err := s.client.Do(request)
	if err != nil {
		fmt.Fprintln(&s.text, "< no response")
		return ""
	}
	defer response.Body.Close()
	responseBody, _ := io.ReadAll(response.Body)
	fmt.Fprintf(&s.text, "< %s\n", response.Status)
	var lines []string
	for name, values := range response.Header {
		if name != "Content-Length" {
			lines = append(lines, fmt.Sprintf("< %s: %s\n", name, strings.Join(values, ", ")))
		}
	}
	sort.Strings(lines)
	fmt.Fprintf(&s.text, "%s< %s\n\n", strings.Join(lines, ""), strings.TrimSpace(string(responseBody)))
	return string(responseBody)
}

// runTranscript records exchanges with a booted fleet and compares them with the approved transcript.
func runTranscript(t *testing.T, name string, shape Shape, run func(s *session)) {
	t.Helper()
	var got string
	synctest.Test(t, func(t *testing.T) {
		f := NewFleet(1, shape, io.Discard)
		defer f.Close()
		if err := f.Boot(); err != nil {
			t.Fatal(err)
		}
		s := newSession(f)
		run(s)
		s.client.CloseIdleConnections()
		got = s.text.String()
	})
	for _, m := range masks {
		got = m.pattern.ReplaceAllString(got, m.replacement)
	}
	transcript.Compare(t, name+".txt", got)
}

func singleProxyShape() Shape {
	s := Small()
	s.Proxies, s.Targets = 1, map[string]int{"rates": 1, "bookings": 1}
	return s
}

func TestTranscript_Clients(t *testing.T) {
	runTranscript(t, "callers", singleProxyShape(), func(s *session) {
		proxyAddress := s.fleet.Machine("proxy1").ProxyAddress()
		s.comment("a read and an order")
		s.send(proxyAddress, "GET", "/rates/lane?from=a", "", "X-Call: c1")
		s.send(proxyAddress, "POST", "/bookings", `{"n":1}`, "X-Call: c2")
		s.comment("a path without a mapping")
		s.send(proxyAddress, "GET", "/nowhere", "")
		s.comment("a service whose only target has crashed")
		s.fleet.Targets("rates")[0].Crash()
		time.Sleep(2500 * time.Millisecond)
		s.send(proxyAddress, "GET", "/rates", "")
		s.comment("an isolated proxy, whose configuration is no longer freshly confirmed")
		s.fleet.isolate([]*Machine{s.fleet.Machine("proxy1")})
		time.Sleep(1500 * time.Millisecond)
		s.send(proxyAddress, "POST", "/bookings", `{"n":2}`, "X-Call: c3")
		s.fleet.Network.Heal()
	})
}

func TestTranscript_MisbehavingTargets(t *testing.T) {
	runTranscript(t, "wrong-servers", singleProxyShape(), func(s *session) {
		proxyAddress := s.fleet.Machine("proxy1").ProxyAddress()
		for _, misbehavior := range []string{standin.CloseUnanswered, standin.Garbage, standin.TruncatedBody, standin.Unsealed} {
			target := s.fleet.Targets("bookings")[0]
			s.fleet.replaceTarget(target, func(int64) string { return misbehavior })
			time.Sleep(2 * time.Second)
			s.comment("the target executes the order and misbehaves: %s", misbehavior)
			s.send(proxyAddress, "POST", "/bookings", `{"n":1}`, "X-Call: c1")
		}
		s.comment("the target responds after the mapping's deadline")
		s.fleet.replaceTarget(s.fleet.Targets("bookings")[0], func(int64) string { time.Sleep(5 * time.Second); return standin.WellBehaved })
		time.Sleep(2 * time.Second)
		s.send(proxyAddress, "POST", "/bookings", `{"n":1}`, "X-Call: c2")
		time.Sleep(10 * time.Second)
	})
}

func TestTranscript_RepeatedRequests(t *testing.T) {
	shape := singleProxyShape()
	shape.AllowsDuplicates = true
	runTranscript(t, "repeats", shape, func(s *session) {
		proxyAddress := s.fleet.Machine("proxy1").ProxyAddress()
		s.fleet.replaceTarget(s.fleet.Targets("bookings")[0], func(int64) string { return standin.CloseUnanswered })
		time.Sleep(2 * time.Second)
		s.comment("an order whose response is lost, and four repeats whose responses are lost too")
		s.send(proxyAddress, "POST", "/bookings", `{"n":1}`, "X-Call: c1", "Idempotency-Key: k1")
		for range 4 {
			s.send(proxyAddress, "POST", "/bookings", `{"n":1}`, "X-Call: c1", "Idempotency-Key: k1")
		}
		s.comment("a repeat of that order, and a new order, while the proxy's configuration is not freshly confirmed")
		s.fleet.isolate([]*Machine{s.fleet.Machine("proxy1")})
		time.Sleep(1500 * time.Millisecond)
		s.send(proxyAddress, "POST", "/bookings", `{"n":1}`, "X-Call: c1", "Idempotency-Key: k1")
		s.send(proxyAddress, "POST", "/bookings", `{"n":2}`, "X-Call: c2", "Idempotency-Key: k2")
		s.fleet.Network.Heal()
	})
}

func TestTranscript_IdempotencyKeys(t *testing.T) {
	runTranscript(t, "once", singleProxyShape(), func(s *session) {
		proxyAddress := s.fleet.Machine("proxy1").ProxyAddress()
		s.comment("an order, and its refused repeat")
		s.send(proxyAddress, "POST", "/bookings", `{"n":1}`, "X-Call: c1", "Idempotency-Key: k1")
		time.Sleep(time.Second)
		s.send(proxyAddress, "POST", "/bookings", `{"n":1}`, "X-Call: c1", "Idempotency-Key: k1")
		s.comment("an order whose response is lost, and its refused repeat")
		s.fleet.replaceTarget(s.fleet.Targets("bookings")[0], func(int64) string { return standin.CloseUnanswered })
		time.Sleep(2 * time.Second)
		s.send(proxyAddress, "POST", "/bookings", `{"n":2}`, "X-Call: c2", "Idempotency-Key: k2")
		time.Sleep(time.Second)
		s.send(proxyAddress, "POST", "/bookings", `{"n":2}`, "X-Call: c2", "Idempotency-Key: k2")
	})
}

func TestTranscript_Operators(t *testing.T) {
	runTranscript(t, "operators", singleProxyShape(), func(s *session) {
		apiAddress := s.fleet.Machine("proxy1").APIAddress()
		s.comment("a change set based on a superseded epoch")
		s.send(apiAddress, "POST", "/v1/changes", `{"id":"late","base":0,"put":{"services":[{"name":"slots"}]}}`)
		s.comment("invalid change sets: several faults, an unknown field, truncated JSON")
		s.send(apiAddress, "POST", "/v1/changes", `{"id":"bad","base":2,"put":{"services":[{"name":"a b"}],"mappings":[{"name":"m","path":"x","to":[{"service":"none","weight":0}]}],"limits":[{"service":"rates","extra_percent":50}]},"drop":{"mappings":["unknown"]}}`)
		s.send(apiAddress, "POST", "/v1/changes", `{"id":"typo","base":2,"puts":{}}`)
		s.send(apiAddress, "POST", "/v1/changes", `{"id":`)
		s.comment("a valid change set, its repeat, another change set with its ID, and queries of an accepted and a refused one")
		s.send(apiAddress, "POST", "/v1/changes", `{"id":"slots","base":2,"put":{"services":[{"name":"slots"}],"mappings":[{"name":"slots","path":"/slots","to":[{"service":"slots","weight":1},{"service":"rates","weight":1}]}]}}`)
		s.send(apiAddress, "POST", "/v1/changes", `{"id":"slots","base":2,"put":{"services":[{"name":"slots"}],"mappings":[{"name":"slots","path":"/slots","to":[{"service":"slots","weight":1},{"service":"rates","weight":1}]}]}}`)
		s.send(apiAddress, "POST", "/v1/changes", `{"id":"slots","base":2,"drop":{"mappings":["rates"]}}`)
		s.send(apiAddress, "GET", "/v1/changes/slots", "")
		s.send(apiAddress, "GET", "/v1/changes/bad", "")
		s.comment("invalid heartbeats, a heartbeat for an unknown service, and an unknown path")
		s.send(apiAddress, "POST", "/v1/beats", `{"service":"rates","instance":"i","seq":1,"address":"host:80","state":"serving"}`)
		s.send(apiAddress, "POST", "/v1/beats", `{"service":"rates"}`)
		s.send(apiAddress, "POST", "/v1/beats", `{"service":"nobody","instance":"i","seq":1,"address":"10.0.0.1:80","state":"serving"}`)
		s.send(apiAddress, "GET", "/v1/nothing", "")
	})
}

func TestTranscript_Applications(t *testing.T) {
	runTranscript(t, "applications", singleProxyShape(), func(s *session) {
		apiAddress := s.fleet.Machine("proxy1").APIAddress()
		s.comment("keys: a conditional write, its repeat by request ID, a refused one, reads and a list")
		s.send(apiAddress, "PUT", "/v1/keys", `{"name":"app/a","value":{"x":1},"if":0,"id":"r1"}`)
		s.send(apiAddress, "PUT", "/v1/keys", `{"name":"app/a","value":{"x":1},"if":0,"id":"r1"}`)
		s.send(apiAddress, "PUT", "/v1/keys", `{"name":"app/a","value":2,"if":0,"id":"r2"}`)
		s.send(apiAddress, "GET", "/v1/keys?name=app/a", "")
		s.send(apiAddress, "GET", "/v1/keys?name=app/none", "")
		s.send(apiAddress, "GET", "/v1/keys/list?prefix=app/", "")
		s.comment("a counter: an increment, its repeat by request ID, and an addition")
		s.send(apiAddress, "POST", "/v1/counters", `{"name":"orders","id":"r3"}`)
		s.send(apiAddress, "POST", "/v1/counters", `{"name":"orders","id":"r3"}`)
		s.send(apiAddress, "POST", "/v1/counters", `{"name":"orders","delta":5}`)
		s.comment("a lock: acquired, refused to another holder, not renewed after it expired, acquired by the other; an invalid TTL")
		s.send(apiAddress, "POST", "/v1/locks/acquire", `{"name":"app/l","holder":"h1","ttl":2000}`)
		s.send(apiAddress, "POST", "/v1/locks/acquire", `{"name":"app/l","holder":"h2","ttl":2000}`)
		time.Sleep(3 * time.Second)
		s.send(apiAddress, "POST", "/v1/locks/renew", `{"name":"app/l","holder":"h1","fence":1}`)
		s.send(apiAddress, "POST", "/v1/locks/acquire", `{"name":"app/l","holder":"h2","ttl":2000}`)
		s.send(apiAddress, "POST", "/v1/locks/acquire", `{"name":"app/l","holder":"h3","ttl":1}`)
		s.comment("an election: a campaign, and a read of the leader")
		s.send(apiAddress, "POST", "/v1/elections/campaign", `{"name":"leader","holder":"n1","value":"10.0.0.1","ttl":5000}`)
		s.send(apiAddress, "GET", "/v1/elections?name=leader", "")
		s.comment("watches: from the start, from a stamp, and without events")
		s.send(apiAddress, "GET", "/v1/watch?name=app/&from=0", "")
		s.send(apiAddress, "GET", "/v1/watch?name=app/&from=1", "")
		s.send(apiAddress, "GET", "/v1/watch?name=app/&from=9999&hold=100", "")
	})
}
