// A try is one write of a request to one target, at most. What it may end in is
// told apart here: nothing written, an answer with a right seal, or something
// else after the first byte, of which only "unknown" can be said.
package proxy

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/eventlog"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// body reads small bodies, so that they can be sent again; others stream. Where
// targets can't be asked whether they want a body, it is read whole in any case.
func (g *Gate) body(ctx context.Context, c *course, r *http.Request) (func() io.Reader, bool, error) {
	most := int64(g.r.Props.GateRequest)
	if manners := c.chart.Manners; manners != nil && manners.Body > 0 {
		most = min(most, manners.Body)
	}
	if r.ContentLength > most {
		return nil, false, errcode.New(errcode.RequestTooLarge, "%d bytes", r.ContentLength)
	}
	if r.ContentLength == 0 {
		return func() io.Reader { return nil }, true, nil
	}
	limit := c.latest(time.Now())
	if !g.lane.await(ctx, r.ContentLength, limit) {
		return nil, false, errcode.New(errcode.Overload, "the link has no place for %d bytes in time", r.ContentLength)
	}
	done, ok := g.lane.begin(r.ContentLength, limit)
	if !ok {
		return nil, false, errcode.New(errcode.Overload, "too many large bodies at once")
	}
	defer done()
	c.isRead = true
	if r.ContentLength > 0 && (r.ContentLength <= smallBody || g.isPlain) {
		whole := make([]byte, r.ContentLength)
		if _, err := io.ReadFull(r.Body, whole); err != nil {
			return nil, false, errcode.New(errcode.BadRequest, "the body ended early; nothing was handed over")
		}
		return func() io.Reader { return bytes.NewReader(whole) }, true, nil
	}
	if g.isPlain {
		whole, err := io.ReadAll(io.LimitReader(r.Body, most+1))
		if err != nil {
			return nil, false, errcode.New(errcode.BadRequest, "the body ended early; nothing was handed over")
		}
		if int64(len(whole)) > most {
			return nil, false, errcode.New(errcode.RequestTooLarge, "over %d bytes", most)
		}
		r.ContentLength = int64(len(whole))
		return func() io.Reader { return bytes.NewReader(whole) }, true, nil
	}
	stream := &streamed{from: r.Body, left: most}
	return func() io.Reader { return stream }, false, nil
}

// streamed is a caller's body on its way; it remembers how it ended. Before the
// first of it is read, begin waits for the server's word.
type streamed struct {
	from  io.Reader
	left  int64
	err   error
	begin func() error
}

func (s *streamed) Read(p []byte) (int, error) {
	if s.begin != nil {
		if err := s.begin(); err != nil {
			return 0, err
		}
		s.begin = nil
	}
	n, err := s.from.Read(p)
	if s.left -= int64(n); s.left < 0 {
		err = errors.New("the body is too large")
	}
	if err != nil && err != io.EOF {
		s.err = err
	}
	return n, err
}

// try is one write of the request to one target, at most. An answer beside a
// problem is a target's word that it did not run the request.
func (g *Gate) try(ctx context.Context, c *course, r *http.Request, to *post, body func() io.Reader, no int) (*answer, bool, error) {
	to.begin(time.Now())
	isHeld := false
	defer func() {
		if !isHeld {
			to.end()
		}
	}()
	target := to.target
	p, err := g.pool.get(ctx, to.at, target.Address, c.patience(g.r.Props.GateConnect))
	if err != nil {
		to.strike(time.Now(), true)
		return nil, false, err
	}
	request := g.request(c, r, target, body(), no)
	out, ok := p.take(request, g.r.Props.GateBody)
	if !ok {
		return nil, false, errcode.New(errcode.NotWritten, "%s: the pipe died", target.Address)
	}
	if t := g.table.Load(); !t.places[to.at] || !g.flow.IsFresh(t.chart, c.service.Name) {
		p.kill()
		return nil, false, errcode.New(errcode.NotFresh, "epoch %d", t.chart.Epoch)
	}
	if t := g.table.Load(); t.chart != c.chart {
		if m := t.find(r); m == nil || m != c.mapping && !reflect.DeepEqual(m, c.mapping) {
			p.kill()
			return nil, false, errcode.New(errcode.NotFresh, "the mapping changed in epoch %d", t.chart.Epoch)
		}
	}
	p.conn.SetDeadline(c.deadline)
	p.giveUpAfter(ackTime)
	g.budget.Seen(c.service.Name, g.bounds(c), c.key, c.isRepeat || no > 0)
	counted := &counted{to: p.conn}
	sent := time.Now()
	defer c.back(sent)
	if err := g.write(ctx, p, request, counted); err != nil {
		select {
		case got := <-out:
			// The server answered before it had read everything.
			if got.err == nil && g.verify(c, target, &got) == nil {
				p.kill()
				return g.judge(c, to, &got, sent)
			}
		default:
		}
		p.kill()
		to.strike(time.Now(), true)
		return nil, counted.n > 0 || request.ContentLength != 0, broken(request, counted.n, err)
	}
	p.written()
	isHeld = true
	return g.await(ctx, c, r, &asking{to: to, pipe: p, out: out, sent: sent, wrote: counted}, body, no)
}

// asking is a try that was written, and whose answer is awaited.
type asking struct {
	to    *post
	pipe  *pipe
	out   chan answer
	sent  time.Time
	wrote *counted
	// isLate is set once the answer is overdue.
	isLate bool
}

// isForgotten tells whether the target seems to have forgotten the pipe: it had idled,
// and ended sooner than a target could have worked. What was sent may have run all the
// same; it says nothing on how well the target is.
func (a *asking) isForgotten(now time.Time, usual time.Duration, err error) bool {
	timeout, ok := err.(interface{ Timeout() bool })
	return a.pipe.idled >= briefLeast && !(ok && timeout.Timeout()) && now.Sub(a.sent) < usual/2
}

// finish takes what a written try came to: an answer with a right seal, or a problem.
func (g *Gate) finish(c *course, a *asking, got *answer) (*answer, bool, error) {
	target := a.to.target
	if got.err != nil {
		a.pipe.kill()
		if now := time.Now(); a.isForgotten(now, c.crew.typical(), got.err) {
			g.pool.forgotten(a.pipe.idled, now)
		} else {
			a.to.strike(now, false)
			g.fails(a.to)
		}
		return nil, true, lost(got, target.Instance)
	}
	if err := g.verify(c, target, got); err != nil {
		a.pipe.kill()
		a.to.strike(time.Now(), false)
		g.fails(a.to)
		return nil, true, err
	}
	g.count(target, a.wrote.n+len(got.body))
	a.pipe.conn.SetDeadline(time.Time{})
	a.pipe.keepFor(got.response.Header.Get("Keep-Alive"))
	g.pool.put(a.to.at, a.pipe)
	return g.judge(c, a.to, got, a.sent)
}

// judge tells an answer that ran from a target's word that nothing did.
func (g *Gate) judge(c *course, to *post, got *answer, sent time.Time) (*answer, bool, error) {
	now, h := time.Now(), got.response.Header
	status := got.response.StatusCode
	isUnrun := h.Get(g.r.Props.HeaderUnrun) != "" && status >= 400
	isElsewhere := status == http.StatusMisdirectedRequest && g.isPlain
	took := now.Sub(sent)
	isFailure := !isUnrun && status >= 500
	to.answered(now, took, !isUnrun && !isElsewhere && !isFailure, !isFailure, h.Get(g.r.Props.HeaderWeight))
	if isFailure && status != http.StatusGatewayTimeout {
		g.fails(to)
	}
	switch {
	case isElsewhere:
		to.bar()
		return got, true, errcode.New(errcode.TargetRefused, "%s: another instance has the address", to.target.Instance)
	case isUnrun:
		to.isFull(now, c.crew.typical())
		return got, true, errcode.New(errcode.TargetRefused, "%s: %d", to.target.Instance, status)
	}
	if status < 500 {
		c.crew.learn(took)
	}
	return got, true, nil
}

// write writes the request, once. A body that streams follows its head only when
// the server has said that it wants it (100 Continue): a head that a cut holds back
// is given up within the short patience, and without its body nothing runs.
func (g *Gate) write(ctx context.Context, p *pipe, request *http.Request, to io.Writer) error {
	if body, ok := request.Body.(wrapped); ok {
		if stream, ok := body.Reader.(*streamed); ok {
			buffer := bufio.NewWriter(to)
			stream.begin = func() error {
				if err := buffer.Flush(); err != nil {
					return err
				}
				return p.wanted(ctx)
			}
			request.Header.Set("Expect", "100-continue")
			if err := request.Write(buffer); err != nil {
				return err
			}
			return buffer.Flush()
		}
	}
	return request.Write(to)
}

// count notes the bytes of a try, without the answer's head.
func (g *Gate) count(target rpc.Target, bytes int) {
	kind := "gate.try"
	if target.Zone != g.r.Props.Zone {
		kind += " between"
	}
	g.wire.Count(kind, "", bytes)
}

// counted knows whether a first byte was written.
type counted struct {
	to io.Writer
	n  int
}

func (c *counted) Write(p []byte) (int, error) {
	n, err := c.to.Write(p)
	c.n += n
	return n, err
}

// broken sorts out a write that failed.
func broken(request *http.Request, n int, err error) error {
	if s, ok := request.Body.(wrapped); ok {
		if stream, ok := s.Reader.(*streamed); ok && stream.err != nil {
			return errcode.New(errcode.BodyCut, "%v", stream.err)
		}
	}
	if n == 0 && request.ContentLength == 0 {
		return errcode.New(errcode.NotWritten, "%v", err)
	}
	return errcode.New(errcode.AnswerLost, "%v", err)
}

// wrapped is a body that a failed write may close without harm.
type wrapped struct{ io.Reader }

func (wrapped) Close() error { return nil }

func lost(got *answer, instance string) error {
	if errors.Is(got.err, errTooLarge) {
		return errcode.New(errcode.AnswerTooLarge, "")
	}
	if timeout, ok := got.err.(interface{ Timeout() bool }); ok && timeout.Timeout() {
		return errcode.New(errcode.DeadlinePassed, "%s", instance)
	}
	return errcode.New(errcode.AnswerLost, "%v", got.err)
}

var hopByHop = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Proxy-Authorization", "Proxy-Authenticate"}

func (g *Gate) request(c *course, r *http.Request, target rpc.Target, body io.Reader, no int) *http.Request {
	out := &http.Request{Method: r.Method, URL: r.URL, Host: r.Host, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: r.Header.Clone(), ContentLength: r.ContentLength}
	for _, word := range strings.Split(r.Header.Get("Connection"), ",") {
		out.Header.Del(strings.TrimSpace(word))
	}
	for _, name := range hopByHop {
		out.Header.Del(name)
	}
	for name := range out.Header {
		if strings.HasPrefix(name, "Sumac-") {
			out.Header.Del(name)
		}
	}
	if g.isPlain {
		out.URL = &url.URL{Opaque: r.RequestURI, Host: r.Host}
		if out.Header.Get("User-Agent") == "" {
			out.Header["User-Agent"] = []string{""}
		}
	} else {
		out.Header.Set(HeaderTry, strconv.Itoa(no+1))
		out.Header.Set(HeaderService, c.service.Name)
		out.Header.Set(HeaderEpoch, strconv.FormatUint(uint64(c.chart.Epoch), 10))
		out.Header.Set(HeaderProxy, string(g.r.Name))
	}
	if left := time.Until(c.deadline).Milliseconds(); g.isPlain || r.Header.Get(g.r.Props.HeaderDeadline) != "" {
		out.Header.Set(g.r.Props.HeaderDeadline, strconv.FormatInt(max(left, 0), 10))
	}
	if c.id != "" {
		out.Header.Set(g.r.Props.HeaderRequest, c.id)
	}
	out.Header.Set(g.r.Props.HeaderExpect, target.Instance)
	if body != nil {
		out.Body = wrapped{body}
	}
	return out
}

// verify holds an answer against the server's seal. An opaque one can only be
// seen to be there; then the answer must name its request, and its length.
func (g *Gate) verify(c *course, target rpc.Target, got *answer) error {
	h := got.response.Header
	seal := h.Get(g.r.Props.HeaderSeal)
	isSealed := false
	if g.isPlain {
		isSuccess := got.response.StatusCode < 300
		isSealed = h.Get(g.r.Props.HeaderRequest) == c.id && (!isSuccess || seal != "") && (got.response.ContentLength >= 0 || len(got.response.TransferEncoding) > 0)
	} else {
		isSealed = IsSealed(seal, c.service.Key, c.id, c.service.Name, target.Instance, got.response.StatusCode, got.body)
	}
	if !isSealed {
		g.r.Sign.Say(eventlog.SealRefused, "request", c.id, "service", c.service.Name, "instance", target.Instance, "address", target.Address, "status", got.response.StatusCode)
		return errcode.New(errcode.SealBroken, "%s", target.Instance)
	}
	return nil
}
