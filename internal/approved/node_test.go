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

// startNode starts one node on loopback that is both a core node and a proxy. overrides replace
// or add settings.
func startNode(t *testing.T, folder string, overrides map[string]string) (n *node.Node, apiAddress, proxyAddress string) {
	t.Helper()
	const ip = "127.3.7.1"
	values := map[string]string{"name": "n1", "bootstrap.cores": "1", "data.folder": folder, "log.level": "error"}
	for _, key := range []string{"peer.address", "api.address", "proxy.address"} {
		listener, err := net.Listen("tcp", ip+":0")
		if err != nil {
			t.Fatal(err)
		}
		values[key] = listener.Addr().String()
		listener.Close()
	}
	for key, value := range overrides {
		values[key] = value
	}
	settings, err := config.Load("", values)
	if err != nil {
		t.Fatal(err)
	}
	r := environment.New(context.Background(), settings, eventlog.New(io.Discard, "error", "n1"), environment.NewHost(settings.PeerAddress))
	t.Cleanup(r.Shutdown)
	if n, err = node.Start(r); err != nil {
		t.Fatal(err)
	}
	return n, values["api.address"], values["proxy.address"]
}

func waitUntil(t *testing.T, condition string, isMet func() bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); !isMet(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting until %s", condition)
		}
	}
}

// httpGet returns status and body, or zero values if the request failed.
func httpGet(t *testing.T, url string) (int, string) {
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

// handledKinds returns the sorted kinds of messages for which a node has handlers.
func handledKinds(t *testing.T, n *node.Node) []string {
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
	t.Fatal("rpc has no field with the table of handlers")
	return nil
}

// Parts of responses that depend on time, on chance or on Go names.
var (
	randomID   = regexp.MustCompile(`\b[0-9a-f]{16}\b`)
	portNumber = regexp.MustCompile(`(127\.3\.7\.1):\d+`)
	goNames    = regexp.MustCompile(`operation [A-Z]\w*: |decode [A-Z]\w*: `)
)

// The test compares the kinds of messages that a node handles, and the headers, bodies and errors
// that it returns to callers, operators and applications, with the approved ones.
func TestNode_ResponsesMatchApproved(t *testing.T) {
	n, apiAddress, proxyAddress := startNode(t, t.TempDir(), nil)
	transcript.Compare(t, "kinds.txt", strings.Join(handledKinds(t, n), "\n")+"\n")
	var out strings.Builder
	send := func(address, method, path, body string, headers ...string) (int, string) {
		t.Helper()
		request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader([]byte(body)))
		if err != nil {
			t.Fatal(err)
		}
		if body != "" {
			request.Header.Set("Content-Type", "application/json")
		}
		for _, header := range headers {
			name, value, _ := strings.Cut(header, ": ")
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
		var headerLines []string
		for name, values := range response.Header {
			if name == "Retry-After" || name == "Date" || name == "Content-Length" {
				values = nil
			}
			headerLines = append(headerLines, name+"="+strings.Join(values, ","))
		}
		slices.Sort(headerLines)
		side := "api"
		if address == proxyAddress {
			side = "gate"
		}
		shown := goNames.ReplaceAllString(portNumber.ReplaceAllString(randomID.ReplaceAllString(fmt.Sprintf("%s %s %s %s\n  %d %s\n  %s\n", side, method, path, body, response.StatusCode, strings.Join(headerLines, " "), strings.TrimSpace(string(text))), "RANDOM"), "$1:PORT"), "")
		out.WriteString(shown)
		return response.StatusCode, string(text)
	}
	callAPI := func(method, path, body string) { t.Helper(); send(apiAddress, method, path, body) }
	isRouted := false // whether the change set with the route /pears/ was submitted
	callProxy := func(method, path string, headers ...string) {
		t.Helper()
		waitUntil(t, "the proxy's configuration is fresh and has the expected routes", func() bool {
			status, text := httpGet(t, "http://"+proxyAddress+"/pears/")
			return status != 0 && !strings.Contains(text, `"code":1002,`) && (status == 404) != isRouted
		})
		send(proxyAddress, method, path, "", headers...)
	}
	waitUntil(t, "the node is ready and has its first epoch", func() bool {
		_, ready := httpGet(t, "http://"+apiAddress+"/v1/ready")
		_, epoch := httpGet(t, "http://"+apiAddress+"/v1/epoch")
		return strings.Contains(ready, "ready") && strings.Contains(epoch, `"epoch":1,`)
	})
	callAPI("GET", "/v1/health", "")
	callAPI("GET", "/v1/nothing", "")
	callAPI("POST", "/v1/beats", `{"service":`)
	callAPI("POST", "/v1/beats", `{"service":"pears","instance":"i-1","seq":1,"address":"pears:1","state":"serving"}`)
	callAPI("POST", "/v1/changes", `{"nothing":1}`)
	callAPI("POST", "/v1/changes", `{"id":"c1","base":99,"put":{}}`)
	callAPI("GET", "/v1/changes/c1", "")
	callAPI("GET", "/v1/keys?name=a/b", "")
	callAPI("PUT", "/v1/keys", `{"id":"k1","name":"a/b","value":{"x":1}}`)
	callAPI("PUT", "/v1/keys", `{"name":"a/b","value":2,"if":7}`)
	callAPI("PUT", "/v1/keys", `{"name":""}`)
	callAPI("GET", "/v1/keys?name=a/b", "")
	callAPI("GET", "/v1/keys/list?prefix=a/", "")
	callAPI("POST", "/v1/counters", `{"id":"n1","name":"a/n","delta":5}`)
	callAPI("GET", "/v1/counters?name=a/n", "")
	callAPI("POST", "/v1/locks/acquire", `{"name":"a/l","holder":"h1","ttl":60000}`)
	callAPI("POST", "/v1/locks/acquire", `{"name":"a/l","holder":"h2","ttl":1000}`)
	callAPI("POST", "/v1/locks/release", `{"name":"a/l","holder":"h2","fence":1}`)
	callAPI("POST", "/v1/elections/campaign", `{"name":"a/e","holder":"h1","ttl":60000}`)
	callAPI("GET", "/v1/watch?name=a/&from=0&hold=1", "")
	callAPI("DELETE", "/v1/keys", `{"name":"a/b"}`)
	callProxy("GET", "/pears/")
	callProxy("POST", "/pears/", "Idempotency-Key: o1")
	callAPI("POST", "/v1/changes", `{"id":"c2","base":1,"put":{"services":[{"name":"pears"}],"mappings":[{"name":"pears","path":"/pears/","to":[{"service":"pears","weight":1}]}],"limits":[{"service":"pears","inflight":3}]}}`)
	isRouted = true
	callProxy("GET", "/pears/")
	callProxy("POST", "/pears/", "Idempotency-Key: o1")
	callProxy("GET", "/apples/")
	var epoch struct{ Manifest map[string]any }
	if _, text := httpGet(t, "http://"+apiAddress+"/v1/epoch"); json.Unmarshal([]byte(text), &epoch) != nil {
		t.Fatal(text)
	}
	fmt.Fprintf(&out, "groups %s\n", slices.Sorted(maps.Keys(epoch.Manifest)))
	for _, table := range []string{"members", "parts", "targets", "ages", "counts", "traffic", "latency", "events", "node"} {
		_, text := httpGet(t, "http://"+apiAddress+"/v1/show/"+table)
		columns, _, _ := strings.Cut(text, "]")
		out.WriteString("show " + table + " " + columns + "]\n")
	}
	transcript.Compare(t, "answers.txt", out.String())
}
