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

// clientTimeout bounds one request and the reading of its response.
const clientTimeout = 15 * time.Second

// Digest returns a short name of a body: the first 8 bytes of its SHA-256, in hex.
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:8])
}

// Client sends requests to proxies, and holds each response against what the server must
// have said.
type Client struct {
	History    *checker.History
	AtMostOnce bool // its routes never execute a call twice
	// Opaque has it name each attempt itself; it then reads the outcome from the response's
	// body, as a client does that knows no headers of the proxy.
	Opaque bool
	http   *http.Client
}

// NewClient makes a client that dials from a host.
func NewClient(host environment.Host, history *checker.History) *Client {
	return &Client{History: history, http: &http.Client{Transport: newTransport(host, 16), Timeout: clientTimeout}}
}

// Close ends idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Call sends one request to a proxy's address and records how it ended. The service is the
// one that must answer; any may if it is empty.
func (c *Client) Call(ctx context.Context, address, method, path, service string, body []byte) checker.Record {
	return c.CallWithID(ctx, address, method, path, service, body, ids.NewID(), false)
}

// CallWithID sends a request under a call ID that is given, so that it can be retried. Any
// method but GET bears that ID as its idempotency key.
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
	// A body that can't be had again keeps the library from repeating a request
	// by itself, which would hide from the history what was really sent.
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
		c.read(response, &record)
	}
	c.History.Add(record)
	return record
}

// read records a response, and closes its body.
func (c *Client) read(response *http.Response, record *checker.Record) {
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	header := response.Header
	record.Status, record.Outcome, record.RetryAfter = response.StatusCode, header.Get(proxy.HeaderOutcome), header.Get("Retry-After")
	if requestID := header.Get(proxy.HeaderRequestID); !c.Opaque {
		record.RequestID = requestID
	} else if requestID != record.RequestID {
		record.Note = "the answer names another request: " + requestID
	}
	record.Code, _ = strconv.Atoi(header.Get(proxy.HeaderCode))                // zero if there is none
	record.Epoch, _ = strconv.ParseUint(header.Get(proxy.HeaderEpoch), 10, 64) // likewise
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

// isResponseTo tells whether a success bears the call, the digest and the service of the
// request.
func isResponseTo(record *checker.Record, body []byte) bool {
	var response Response
	if err := json.Unmarshal(body, &response); err != nil {
		return false
	}
	return response.Call == record.CallID && response.Digest == record.Digest && (response.Service == record.Service || record.Service == "")
}
