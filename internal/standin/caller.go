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

// Client sends requests to proxies.
type Client struct {
	History    *checker.History
	AtMostOnce bool // its orders go to mappings that never run one twice
	// Opaque has it name each try itself; an answer then bears nothing else of ours.
	Opaque bool
	http   *http.Client
}

func NewClient(n environment.Host, h *checker.History) *Client {
	transport := &http.Transport{DialContext: func(ctx context.Context, _, at string) (net.Conn, error) { return n.Dial(ctx, at) }, MaxIdleConnsPerHost: 16, IdleConnTimeout: 5 * time.Second}
	return &Client{History: h, http: &http.Client{Transport: transport, Timeout: 15 * time.Second}}
}

// Close ends idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Call sends one request and records how it ended.
func (c *Client) Call(ctx context.Context, address, method, path, service string, body []byte) checker.Record {
	return c.CallWithID(ctx, address, method, path, service, body, ids.NewID(), false)
}

// CallWithID sends a request under a call number given.
func (c *Client) CallWithID(ctx context.Context, address, method, path, service string, body []byte, call string, isRepeat bool) checker.Record {
	r := checker.Record{Kind: checker.RequestCompleted, Start: c.History.Now(), CallID: call, Proxy: address, Service: service, Path: path, Idempotent: method == http.MethodGet, IsRetry: isRepeat, AtMostOnce: c.AtMostOnce, Digest: Digest(body)}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, nil)
	if err != nil {
		return r
	}
	// A body that can't be had again keeps the library from repeating a request
	// by itself, which would hide from the history what was really sent.
	request.Body, request.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
	request.Header.Set(HeaderCall, call)
	if method != http.MethodGet {
		request.Header.Set(proxy.HeaderIdempotencyKey, call)
	}
	if c.Opaque {
		r.PerAttempt, r.RequestID = true, ids.NewID()
		request.Header.Set(proxy.HeaderRequestID, r.RequestID)
	}
	response, err := c.http.Do(request)
	if err != nil {
		r.Outcome, r.Note = "broken", err.Error()
		c.History.Add(r)
		return r
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	r.Status, r.Outcome, r.RetryAfter = response.StatusCode, response.Header.Get(proxy.HeaderOutcome), response.Header.Get("Retry-After")
	if named := response.Header.Get(proxy.HeaderRequestID); !c.Opaque {
		r.RequestID = named
	} else if named != r.RequestID {
		r.Note = "the answer names another request: " + named
	}
	r.Code, _ = strconv.Atoi(response.Header.Get(proxy.HeaderCode))
	r.Epoch, _ = strconv.ParseUint(response.Header.Get(proxy.HeaderEpoch), 10, 64)
	switch {
	case err != nil:
		r.Outcome, r.Note = "broken", err.Error()
	case response.StatusCode == 200:
		var answer Response
		json.Unmarshal(raw, &answer)
		if answer.Call != call || answer.Digest != r.Digest || answer.Service != service && service != "" {
			r.Note = "wrong answer: " + string(raw)
		}
	default:
		r.Note = string(raw)
	}
	if c.Opaque && err == nil {
		r.Outcome, r.Code = opaqueOutcome(response.StatusCode, raw)
	}
	c.History.Add(r)
	return r
}
