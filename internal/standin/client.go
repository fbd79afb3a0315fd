package standin

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/checker"
	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/proxy"
)

// clientTimeout limits one request, including the reading of its response.
const clientTimeout = 15 * time.Second

// Digest returns the first 8 bytes of a body's SHA-256 hash, in hex.
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:8])
}

// Client sends requests to proxies and checks that each successful response belongs to its
// request.
type Client struct {
	History    *checker.History
	AtMostOnce bool // its routes execute a call at most once
	// Opaque makes the client assign the ID of each request and derive the outcome from the
	// response's status and body, like a client that doesn't know the proxy's headers.
	Opaque bool
	http   *http.Client
}

// NewClient returns a client that dials from host.
func NewClient(host environment.Host, history *checker.History) *Client {
	return &Client{History: history, http: &http.Client{Transport: newTransport(host, 16), Timeout: clientTimeout}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Call sends one request to the proxy at address and records its outcome. A success must come
// from the given service, or from any service if it is empty.
func (c *Client) Call(ctx context.Context, address, method, path, service string, body []byte) checker.Record {
	return c.CallWithID(ctx, address, method, path, service, body, ids.NewID(), false)
}

// CallWithID is like Call with a given call ID, so that the call can be retried. For all methods
// except GET, the ID is also sent as the idempotency key.
func (c *Client) CallWithID(ctx context.Context, address, method, path, service string, body []byte, callID string, isRetry bool) checker.Record {
	record := checker.Record{
		Kind:       checker.RequestCompleted,
		Start:      c.History.Now(),
		CallID:     callID,
		Proxy:      address,
		Service:    service,
		Path:       path,
		Idempotent: method == http.MethodGet,
		IsRetry:    isRetry,
		AtMostOnce: c.AtMostOnce,
		Digest:     Digest(body),
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, nil)
	if err != nil {
		return record
	}
	// Without GetBody, net/http can't retry the request by itself. Such a retry would be
	// missing from the history.
	request.Body, request.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
	request.Header.Set(HeaderCall, callID)
	if method != http.MethodGet {
		request.Header.Set(proxy.HeaderIdempotencyKey, callID)
	}
	if c.Opaque {
		record.PerAttempt, record.RequestID = true, ids.NewID()
		request.Header.Set(proxy.HeaderRequestID, record.RequestID)
	}
	if response, err := c.http.Do(request); err != nil {
		record.Outcome, record.Note = checker.OutcomeBroken, err.Error()
	} else {
		c.readResponse(response, &record)
	}
	c.History.Add(record)
	return record
}

// readResponse adds a response to the record and closes the body.
func (c *Client) readResponse(response *http.Response, record *checker.Record) {
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	header := response.Header
	record.Status, record.Outcome, record.RetryAfter = response.StatusCode, header.Get(proxy.HeaderOutcome), header.Get("Retry-After")
	if requestID := header.Get(proxy.HeaderRequestID); !c.Opaque {
		record.RequestID = requestID
	} else if requestID != record.RequestID {
		record.Note = "the response has another request ID: " + requestID
	}
	record.Code, _ = strconv.Atoi(header.Get(proxy.HeaderCode))                // zero if missing
	record.Epoch, _ = strconv.ParseUint(header.Get(proxy.HeaderEpoch), 10, 64) // zero if missing
	switch {
	case err != nil:
		record.Outcome, record.Note = checker.OutcomeBroken, err.Error()
		return
	case response.StatusCode != http.StatusOK:
		record.Note = string(body)
	case !isResponseTo(record, body):
		record.Note = "wrong answer: " + string(body)
	}
	if c.Opaque {
		record.Outcome, record.Code = opaqueOutcome(response.StatusCode, body)
	}
}

// isResponseTo reports whether a successful response contains the call ID, digest and service of
// the request.
func isResponseTo(record *checker.Record, body []byte) bool {
	var response Response
	if err := json.Unmarshal(body, &response); err != nil {
		return false
	}
	return response.Call == record.CallID && response.Digest == record.Digest && (response.Service == record.Service || record.Service == "")
}
