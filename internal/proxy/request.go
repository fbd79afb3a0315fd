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

// hopByHop are the header fields that concern one connection only and are not forwarded,
// beside those that the Connection field names (RFC 9110, section 7.6.1), and those that the
// proxy answers itself.
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

// upstreamRequest is the request that one attempt sends to a target: the client's, without
// the fields that concern its connection only or might pass for the proxy's, and with the
// proxy's own. epoch is the one under which it is handed over; index is the number of the
// attempt, from zero.
func (p *Proxy) upstreamRequest(plan *requestPlan, r *http.Request, target rpc.Target, epoch ids.Epoch, body io.Reader, index int) *http.Request {
	out := &http.Request{Method: r.Method, URL: r.URL, Host: r.Host, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: r.Header.Clone(), ContentLength: r.ContentLength}
	removeHopByHop(out.Header, r.Header.Get("Connection"))
	for name := range out.Header {
		if strings.HasPrefix(name, headerPrefix) {
			out.Header.Del(name)
		}
	}
	if p.opaqueSeals {
		out.URL = &url.URL{Opaque: r.RequestURI, Host: r.Host}
		if out.Header.Get("User-Agent") == "" {
			out.Header["User-Agent"] = []string{""}
		}
	} else {
		out.Header.Set(HeaderAttempt, strconv.Itoa(index+1))
		out.Header.Set(HeaderService, plan.service.Name)
		out.Header.Set(HeaderEpoch, strconv.FormatUint(uint64(epoch), 10))
		out.Header.Set(HeaderProxy, string(p.environment.Name))
	}
	if remaining := time.Until(plan.deadline).Milliseconds(); p.opaqueSeals || r.Header.Get(p.environment.Config.HeaderDeadline) != "" {
		out.Header.Set(p.environment.Config.HeaderDeadline, strconv.FormatInt(max(remaining, 0), 10))
	}
	if plan.requestID != "" {
		out.Header.Set(p.environment.Config.HeaderRequestID, plan.requestID)
	}
	out.Header.Set(p.environment.Config.HeaderExpectedInstance, target.Instance)
	if body != nil {
		out.Body = uncloseableBody{body}
	}
	return out
}
