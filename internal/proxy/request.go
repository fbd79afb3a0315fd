package proxy

import (
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// hopByHop lists the header fields that are not forwarded, in addition to those named by the
// Connection field (RFC 9110, section 7.6.1). They apply to a single connection or are handled
// by the proxy itself.
var hopByHop = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Proxy-Authorization", "Proxy-Authenticate"}

// removeHopByHop removes the hop-by-hop fields from a header. connection is the value of the
// message's Connection field.
func removeHopByHop(header http.Header, connection string) {
	for _, option := range strings.Split(connection, ",") {
		header.Del(strings.TrimSpace(option))
	}
	for _, name := range hopByHop {
		header.Del(name)
	}
}

// upstreamRequest returns the request that an attempt sends to a target: the client's, without
// hop-by-hop fields and fields with the project's prefix, and with the proxy's own fields. epoch
// is the epoch under which it is sent; index is the zero-based number of the attempt.
func (p *Proxy) upstreamRequest(plan *requestPlan, r *http.Request, target rpc.Target, epoch ids.Epoch, body io.Reader, index int) *http.Request {
	request := &http.Request{Method: r.Method, URL: r.URL, Host: r.Host, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: r.Header.Clone(), ContentLength: r.ContentLength}
	removeHopByHop(request.Header, r.Header.Get("Connection"))
	for name := range request.Header {
		if strings.HasPrefix(name, headerPrefix) {
			request.Header.Del(name)
		}
	}
	if p.opaqueSeals {
		request.URL = &url.URL{Opaque: r.RequestURI, Host: r.Host}
		if request.Header.Get("User-Agent") == "" {
			request.Header["User-Agent"] = []string{""}
		}
	} else {
		request.Header.Set(HeaderAttempt, strconv.Itoa(index+1))
		request.Header.Set(HeaderService, plan.service.Name)
		request.Header.Set(HeaderEpoch, strconv.FormatUint(uint64(epoch), 10))
		request.Header.Set(HeaderProxy, string(p.environment.Name))
	}
	if remaining := time.Until(plan.deadline).Milliseconds(); p.opaqueSeals || r.Header.Get(p.environment.Config.HeaderDeadline) != "" {
		request.Header.Set(p.environment.Config.HeaderDeadline, strconv.FormatInt(max(remaining, 0), 10))
	}
	if plan.requestID != "" {
		request.Header.Set(p.environment.Config.HeaderRequestID, plan.requestID)
	}
	request.Header.Set(p.environment.Config.HeaderExpectedInstance, target.Instance)
	if body != nil {
		request.Body = uncloseableBody{body}
	}
	return request
}
