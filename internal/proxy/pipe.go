// A pipe is one connection to one target. Its task waits for a byte: one that
// comes while nothing was asked, or the end of the connection, shows the pipe
// dead, so only a pipe that is known idle is used again. One try is one write
// of one request; nothing here ever writes a request a second time.
package proxy

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
)

const (
	idleMost = 64
	surplus  = 3 // answers to other requests that are read past

	briefPart  = 4
	briefLeast = 100 * time.Millisecond
	briefFor   = 8 * time.Second
)

var errTooLarge = errors.New("answer too large")

type answer struct {
	response *http.Response
	body     []byte
	err      error
}

type pipe struct {
	conn  net.Conn
	since time.Time
	keep  time.Duration // how long it may idle
	idled time.Duration // how long it did before its request; zero for a new one
	given time.Duration // the patience that the system was told
	names string        // the header by which an answer names its request; none if empty

	mu     sync.Mutex
	asked  *http.Request
	limit  int
	answer chan answer
	more   chan struct{} // closed when the server wants the body, or has answered
	// isWriting is set while the request is being written. An answer that comes before
	// it is out ends the connection: the target may never read the rest, and what
	// follows on it would stand where the rest is due.
	isWriting bool
	isDead    bool
}

func (p *pipe) run() {
	defer p.kill()
	reader := bufio.NewReaderSize(p.conn, 8<<10)
	for {
		_, err := reader.Peek(1)
		p.mu.Lock()
		request, limit, out, more := p.asked, p.limit, p.answer, p.more
		if request == nil {
			p.isDead = true
			p.mu.Unlock()
			return
		}
		p.mu.Unlock()
		if err != nil {
			close(more)
			out <- answer{err: err}
			return
		}
		got := read(reader, request, limit, more, p.names)
		p.mu.Lock()
		isOver := got.err != nil || got.response.Close || reader.Buffered() > 0 || p.isWriting
		p.asked = nil
		p.isDead = isOver
		p.mu.Unlock()
		out <- got
		if isOver {
			return
		}
	}
}

// read takes the next answer. One that is whole but names another request is a
// surplus one that came late; it belongs to nobody, and the next is awaited.
func read(reader *bufio.Reader, request *http.Request, limit int, more chan struct{}, names string) answer {
	tell := sync.OnceFunc(func() { close(more) })
	defer tell()
	for past := 0; ; {
		response, err := http.ReadResponse(reader, request)
		if err != nil {
			return answer{err: err}
		}
		if response.StatusCode < 200 {
			if response.StatusCode == http.StatusSwitchingProtocols {
				return answer{err: errors.New("the server switched protocols")}
			}
			if response.StatusCode == http.StatusContinue {
				tell()
			}
			continue
		}
		body, err := whole(response, limit)
		if err != nil {
			return answer{err: err}
		}
		response.Body.Close()
		if named := response.Header.Get(names); names != "" && named != "" && named != request.Header.Get(names) && past < surplus && !response.Close {
			past++
			continue
		}
		return answer{response: response, body: body}
	}
}

// whole is the body of an answer, which must not be larger than the limit.
func whole(response *http.Response, limit int) ([]byte, error) {
	if n := response.ContentLength; n >= 0 {
		if n > int64(limit) {
			return nil, errTooLarge
		}
		if response.Request != nil && response.Request.Method == http.MethodHead {
			return nil, nil
		}
		body := make([]byte, n)
		_, err := io.ReadFull(response.Body, body)
		if err == io.EOF && n == 0 {
			err = nil
		}
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, int64(limit)+1))
	if err == nil && len(body) > limit {
		err = errTooLarge
	}
	return body, err
}

// giveUpAfter tells the system once how long sent bytes may stay unacknowledged.
func (p *pipe) giveUpAfter(d time.Duration) {
	if p.given != d {
		p.given = d
		giveUpAfter(p.conn, d)
	}
}

// keepFor heeds what a target says of idle connections, a little early.
func (p *pipe) keepFor(word string) {
	_, text, ok := strings.Cut(word, "timeout=")
	if !ok {
		return
	}
	text, _, _ = strings.Cut(text, ",")
	if seconds, err := strconv.Atoi(strings.TrimSpace(text)); err == nil && seconds >= 0 && seconds < 86400 {
		p.keep = min(p.keep, time.Duration(seconds)*time.Second*9/10)
	}
}

func (p *pipe) kill() {
	p.mu.Lock()
	p.isDead = true
	p.mu.Unlock()
	throwAway(p.conn)
}

// take claims an idle pipe for a request; false if it died meanwhile.
func (p *pipe) take(request *http.Request, limit int) (chan answer, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isDead {
		return nil, false
	}
	p.asked, p.limit, p.answer, p.more = request, limit, make(chan answer, 1), make(chan struct{})
	p.isWriting = true
	return p.answer, true
}

// written notes that the whole request is out.
func (p *pipe) written() {
	p.mu.Lock()
	p.isWriting = false
	p.mu.Unlock()
}

func (p *pipe) isIdle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.isDead && p.asked == nil
}

// wanted waits until the server wants the body, within the short patience; from
// then on the body has the longer one.
func (p *pipe) wanted(ctx context.Context) error {
	p.mu.Lock()
	more := p.more
	p.mu.Unlock()
	wakeup := time.NewTimer(ackTime)
	defer wakeup.Stop()
	select {
	case <-more:
		p.giveUpAfter(ackTimeStream)
		return nil
	case <-wakeup.C:
		return errors.New("the server did not take the head in time")
	case <-ctx.Done():
		return ctx.Err()
	}
}

// pool keeps the idle pipes by target.
type pool struct {
	r    *environment.Realm
	mu   sync.Mutex
	idle map[string][]*pipe

	// brief bounds how long pipes may idle, whatever their targets say, until a time.
	brief      time.Duration
	briefUntil time.Time
}

func newPool(r *environment.Realm) *pool { return &pool{r: r, idle: map[string][]*pipe{}} }

func place(service, instance, address string) string {
	return service + "\n" + instance + "\n" + address
}

// get finds an idle pipe or dials for so long; the problem means nothing was written.
func (o *pool) get(ctx context.Context, at, address string, patience time.Duration) (*pipe, error) {
	for {
		o.mu.Lock()
		list := o.idle[at]
		if len(list) == 0 {
			o.mu.Unlock()
			break
		}
		p := list[len(list)-1]
		o.idle[at] = list[:len(list)-1]
		now := time.Now()
		keep := o.keepOf(p, now)
		o.mu.Unlock()
		if p.idled = now.Sub(p.since); p.isIdle() && p.idled < keep {
			return p, nil
		}
		p.kill()
	}
	limited, end := context.WithTimeout(ctx, patience)
	defer end()
	conn, err := o.r.Net.Dial(limited, address)
	if err != nil {
		return nil, errcode.New(errcode.NotWritten, "%s: %v", address, err)
	}
	p := &pipe{conn: conn, keep: o.r.Props.GateIdle}
	if o.r.Props.GateSeal == "opaque" {
		p.names = o.r.Props.HeaderRequest
	}
	o.r.Go(p.run)
	return p, nil
}

// keepOf is how long a pipe may idle as things stand.
func (o *pool) keepOf(p *pipe, now time.Time) time.Duration {
	if now.Before(o.briefUntil) {
		return min(p.keep, o.brief)
	}
	return p.keep
}

// forgotten notes that a target had forgotten a pipe that idled for so long, and told
// so only when a request was sent on it. Targets that do so do it to all pipes, and an
// order that is lost so is lost for good: for a while only pipes that idled for much
// less are used.
func (o *pool) forgotten(idled time.Duration, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if now.After(o.briefUntil) {
		o.brief = o.r.Props.GateIdle
	}
	o.brief = max(min(o.brief, idled)/briefPart, briefLeast)
	o.briefUntil = now.Add(briefFor)
}

func (o *pool) put(at string, p *pipe) {
	if !p.isIdle() {
		p.kill()
		return
	}
	p.since = time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.idle[at]) >= idleMost || o.r.IsOver() {
		p.kill()
		return
	}
	o.idle[at] = append(o.idle[at], p)
}

// prune closes the pipes of targets that are no longer in the epoch.
func (o *pool) prune(isIn func(at string) bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for at, list := range o.idle {
		kept := list[:0]
		for _, p := range list {
			if isIn(at) && p.isIdle() && time.Since(p.since) < o.keepOf(p, time.Now()) {
				kept = append(kept, p)
			} else {
				p.kill()
			}
		}
		if len(kept) == 0 {
			delete(o.idle, at)
		} else {
			o.idle[at] = kept
		}
	}
}
