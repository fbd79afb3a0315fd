// Stand-in callers: each call bears a number of its own, and what came back is
// held against what the server must have said.
package standin

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/checker"
	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/proxy"
)

// Digest names a body.
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:8])
}

// Caller sends requests to proxies.
type Caller struct {
	H    *checker.History
	Once bool // its orders go to mappings that never run one twice
	// IsPlain has it name each try itself; an answer then bears nothing else of ours.
	IsPlain bool
	client  *http.Client
}

func NewCaller(n environment.Host, h *checker.History) *Caller {
	transport := &http.Transport{DialContext: func(ctx context.Context, _, at string) (net.Conn, error) { return n.Dial(ctx, at) }, MaxIdleConnsPerHost: 16, IdleConnTimeout: 5 * time.Second}
	return &Caller{H: h, client: &http.Client{Transport: transport, Timeout: 15 * time.Second}}
}

// Close ends idle connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

// Call sends one request and records how it ended.
func (c *Caller) Call(ctx context.Context, address, method, path, service string, body []byte) checker.Record {
	return c.Repeat(ctx, address, method, path, service, body, ids.NewID(), false)
}

// Repeat sends a request under a call number given.
func (c *Caller) Repeat(ctx context.Context, address, method, path, service string, body []byte, call string, isRepeat bool) checker.Record {
	r := checker.Record{Kind: checker.Called, Start: c.H.Now(), Call: call, Proxy: address, Service: service, Mapping: path, Repeatable: method == http.MethodGet, Repeat: isRepeat, Once: c.Once, Digest: Digest(body)}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, nil)
	if err != nil {
		return r
	}
	// A body that can't be had again keeps the library from repeating a request
	// by itself, which would hide from the history what was really sent.
	request.Body, request.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
	request.Header.Set(CallHeader, call)
	if method != http.MethodGet {
		request.Header.Set(proxy.HeaderIdempotencyKey, call)
	}
	if c.IsPlain {
		r.IsTry, r.Request = true, ids.NewID()
		request.Header.Set(proxy.HeaderRequestID, r.Request)
	}
	response, err := c.client.Do(request)
	if err != nil {
		r.Outcome, r.Note = "broken", err.Error()
		c.H.Add(r)
		return r
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	r.Status, r.Outcome, r.RetryAfter = response.StatusCode, response.Header.Get(proxy.HeaderOutcome), response.Header.Get("Retry-After")
	if named := response.Header.Get(proxy.HeaderRequestID); !c.IsPlain {
		r.Request = named
	} else if named != r.Request {
		r.Note = "the answer names another request: " + named
	}
	r.Code, _ = strconv.Atoi(response.Header.Get(proxy.HeaderCode))
	r.Epoch, _ = strconv.ParseUint(response.Header.Get(proxy.HeaderEpoch), 10, 64)
	switch {
	case err != nil:
		r.Outcome, r.Note = "broken", err.Error()
	case response.StatusCode == 200:
		var answer Answer
		json.Unmarshal(raw, &answer)
		if answer.Call != call || answer.Digest != r.Digest || answer.Service != service && service != "" {
			r.Note = "wrong answer: " + string(raw)
		}
	default:
		r.Note = string(raw)
	}
	if c.IsPlain && err == nil {
		r.Outcome, r.Code = told(response.StatusCode, raw)
	}
	c.H.Add(r)
	return r
}
