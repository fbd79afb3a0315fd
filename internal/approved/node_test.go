package approved

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"reflect"
	"regexp"
	"slices"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/transcript"

	"github.com/sumactrestle/sumactrestle/internal/config"
	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/eventlog"
	"github.com/sumactrestle/sumactrestle/internal/node"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// start brings up one node that is a core node and a proxy, on loopback.
func start(t *testing.T, folder string, more map[string]string) (n *node.Node, api, gate string) {
	t.Helper()
	const ip = "127.3.7.1"
	set := map[string]string{"name": "n1", "bootstrap.cores": "1", "data.folder": folder, "log.level": "error"}
	for _, key := range []string{"peer.address", "api.address", "proxy.address"} {
		listener, err := net.Listen("tcp", ip+":0")
		if err != nil {
			t.Fatal(err)
		}
		set[key] = listener.Addr().String()
		listener.Close()
	}
	for key, value := range more {
		set[key] = value
	}
	settings, err := config.Load("", set)
	if err != nil {
		t.Fatal(err)
	}
	r := environment.New(context.Background(), settings, eventlog.New(io.Discard, "error", "n1"), environment.NewHost(settings.PeerAddress))
	t.Cleanup(r.Shutdown)
	if n, err = node.Start(r); err != nil {
		t.Fatal(err)
	}
	return n, set["api.address"], set["proxy.address"]
}

func await(t *testing.T, what string, isDone func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !isDone(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("waited in vain until %s", what)
		}
	}
}

// get is a status and a body; none if nothing came.
func get(t *testing.T, url string) (int, string) {
	t.Helper()
	response, err := http.Get(url)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(text)
}

// kindsOf is the kinds of messages that a node has handlers for.
func kindsOf(t *testing.T, n *node.Node) []string {
	t.Helper()
	w := reflect.ValueOf(n.RPC).Elem()
	for i := range w.NumField() {
		if w.Field(i).Type() == reflect.TypeFor[map[string]rpc.Handler]() {
			var kinds []string
			for _, key := range w.Field(i).MapKeys() {
				kinds = append(kinds, key.String())
			}
			sort.Strings(kinds)
			return kinds
		}
	}
	t.Fatal("no table of handlers found")
	return nil
}

// What hangs on time, on chance or on Go names in an answer.
var (
	randomID   = regexp.MustCompile(`\b[0-9a-f]{16}\b`)
	portNumber = regexp.MustCompile(`(127\.3\.7\.1):\d+`)
	goNames    = regexp.MustCompile(`operation [A-Z]\w*: |decode [A-Z]\w*: `)
)

// TestNodeIsAsApproved holds the kinds of messages that a node takes, and what callers,
// operators and applications hear from it: heads, bodies, problems.
func TestNodeIsAsApproved(t *testing.T) {
	n, apiAddress, gateAddress := start(t, t.TempDir(), nil)
	transcript.Compare(t, "kinds.txt", strings.Join(kindsOf(t, n), "\n")+"\n")
	var out strings.Builder
	send := func(to, method, path, body string, heads ...string) (int, string) {
		t.Helper()
		request, err := http.NewRequest(method, "http://"+to+path, bytes.NewReader([]byte(body)))
		if err != nil {
			t.Fatal(err)
		}
		if body != "" {
			request.Header.Set("Content-Type", "application/json")
		}
		for _, head := range heads {
			name, value, _ := strings.Cut(head, ": ")
			request.Header.Set(name, value)
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		defer response.Body.Close()
		text, err := io.ReadAll(response.Body)
		if err != nil {
			t.Fatal(err)
		}
		var names []string
		for name, values := range response.Header {
			if name == "Retry-After" || name == "Date" || name == "Content-Length" {
				values = nil
			}
			names = append(names, name+"="+strings.Join(values, ","))
		}
		slices.Sort(names)
		side := "api"
		if to == gateAddress {
			side = "gate"
		}
		shown := goNames.ReplaceAllString(portNumber.ReplaceAllString(randomID.ReplaceAllString(fmt.Sprintf("%s %s %s %s\n  %d %s\n  %s\n", side, method, path, body, response.StatusCode, strings.Join(names, " "), strings.TrimSpace(string(text))), "RANDOM"), "$1:PORT"), "")
		out.WriteString(shown)
		return response.StatusCode, string(text)
	}
	api := func(method, path, body string) { t.Helper(); send(apiAddress, method, path, body) }
	isIn := false // the change set that leads /pears/ somewhere
	gate := func(method, path string, heads ...string) {
		t.Helper()
		await(t, "the proxy's plan is fresh", func() bool {
			status, text := get(t, "http://"+gateAddress+"/pears/")
			return status != 0 && !strings.Contains(text, `"code":1002,`) && (status == 404) != isIn
		})
		send(gateAddress, method, path, "", heads...)
	}
	await(t, "the node is ready and has a first epoch", func() bool {
		_, ready := get(t, "http://"+apiAddress+"/v1/ready")
		_, epoch := get(t, "http://"+apiAddress+"/v1/epoch")
		return strings.Contains(ready, "ready") && strings.Contains(epoch, `"epoch":1,`)
	})
	api("GET", "/v1/health", "")
	api("GET", "/v1/nothing", "")
	api("POST", "/v1/beats", `{"service":`)
	api("POST", "/v1/beats", `{"service":"pears","instance":"i-1","seq":1,"address":"pears:1","state":"serving"}`)
	api("POST", "/v1/changes", `{"nothing":1}`)
	api("POST", "/v1/changes", `{"id":"c1","base":99,"put":{}}`)
	api("GET", "/v1/changes/c1", "")
	api("GET", "/v1/keys?name=a/b", "")
	api("PUT", "/v1/keys", `{"id":"k1","name":"a/b","value":{"x":1}}`)
	api("PUT", "/v1/keys", `{"name":"a/b","value":2,"if":7}`)
	api("PUT", "/v1/keys", `{"name":""}`)
	api("GET", "/v1/keys?name=a/b", "")
	api("GET", "/v1/keys/list?prefix=a/", "")
	api("POST", "/v1/counters", `{"id":"n1","name":"a/n","delta":5}`)
	api("GET", "/v1/counters?name=a/n", "")
	api("POST", "/v1/locks/acquire", `{"name":"a/l","holder":"h1","ttl":60000}`)
	api("POST", "/v1/locks/acquire", `{"name":"a/l","holder":"h2","ttl":1000}`)
	api("POST", "/v1/locks/release", `{"name":"a/l","holder":"h2","fence":1}`)
	api("POST", "/v1/elections/campaign", `{"name":"a/e","holder":"h1","ttl":60000}`)
	api("GET", "/v1/watch?name=a/&from=0&hold=1", "")
	api("DELETE", "/v1/keys", `{"name":"a/b"}`)
	gate("GET", "/pears/")
	gate("POST", "/pears/", "Idempotency-Key: o1")
	api("POST", "/v1/changes", `{"id":"c2","base":1,"put":{"services":[{"name":"pears"}],"mappings":[{"name":"pears","path":"/pears/","to":[{"service":"pears","weight":1}]}],"limits":[{"service":"pears","inflight":3}]}}`)
	isIn = true
	gate("GET", "/pears/")
	gate("POST", "/pears/", "Idempotency-Key: o1")
	gate("GET", "/apples/")
	var epoch struct{ Manifest map[string]any }
	if _, text := get(t, "http://"+apiAddress+"/v1/epoch"); json.Unmarshal([]byte(text), &epoch) != nil {
		t.Fatal(text)
	}
	fmt.Fprintf(&out, "groups %s\n", slices.Sorted(maps.Keys(epoch.Manifest)))
	for _, what := range []string{"members", "parts", "targets", "ages", "counts", "traffic", "latency", "events", "node"} {
		_, text := get(t, "http://"+apiAddress+"/v1/show/"+what)
		head, _, _ := strings.Cut(text, "]")
		out.WriteString("show " + what + " " + head + "]\n")
	}
	transcript.Compare(t, "answers.txt", out.String())
}
