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
	maxIdlePerEndpoint = 64
	maxStrayResponses  = 3 // answers to other requests that are read past

	staleIdleDivisor  = 4
	MinIdleLimit      = 100 * time.Millisecond
	idleLimitDuration = 8 * time.Second
)

var ErrTooLarge = errors.New("answer too large")

type Response struct {
	HTTP *http.Response
	Body []byte
	Err  error
}

type Connection struct {
	Conn              net.Conn
	idleSince         time.Time
	idleTimeout       time.Duration // how long it may idle
	IdledFor          time.Duration // how long it did before its request; zero for a new one
	userTimeout       time.Duration // the patience that the system was told
	correlationHeader string        // the header by which an answer names its request; none if empty

	mu        sync.Mutex
	request   *http.Request
	maxBody   int
	responses chan Response
	continued chan struct{} // closed when the server wants the body, or has answered
	// writing is set while the request is being written. An answer that comes before
	// it is out ends the connection: the target may never read the rest, and what
	// follows on it would stand where the rest is due.
	writing bool
	dead    bool
}

func (c *Connection) readLoop() {
	defer c.Abort()
	reader := bufio.NewReaderSize(c.Conn, 8<<10)
	for {
		_, err := reader.Peek(1)
		c.mu.Lock()
		request, maxBody, responses, continued := c.request, c.maxBody, c.responses, c.continued
		if request == nil {
			c.dead = true
			c.mu.Unlock()
			return
		}
		c.mu.Unlock()
		if err != nil {
			close(continued)
			responses <- Response{Err: err}
			return
		}
		response := readResponse(reader, request, maxBody, continued, c.correlationHeader)
		c.mu.Lock()
		last := response.Err != nil || response.HTTP.Close || reader.Buffered() > 0 || c.writing
		c.request = nil
		c.dead = last
		c.mu.Unlock()
		responses <- response
		if last {
			return
		}
	}
}

// readResponse takes the next answer. One that is whole but names another request is a
// surplus one that came late; it belongs to nobody, and the next is awaited.
func readResponse(reader *bufio.Reader, request *http.Request, maxBody int, continued chan struct{}, correlationHeader string) Response {
	announce := sync.OnceFunc(func() { close(continued) })
	defer announce()
	for strays := 0; ; {
		response, err := http.ReadResponse(reader, request)
		if err != nil {
			return Response{Err: err}
		}
		if response.StatusCode < 200 {
			if response.StatusCode == http.StatusSwitchingProtocols {
				return Response{Err: errors.New("the server switched protocols")}
			}
			if response.StatusCode == http.StatusContinue {
				announce()
			}
			continue
		}
		body, err := readBody(response, maxBody)
		if err != nil {
			return Response{Err: err}
		}
		response.Body.Close()
		if named := response.Header.Get(correlationHeader); correlationHeader != "" && named != "" && named != request.Header.Get(correlationHeader) && strays < maxStrayResponses && !response.Close {
			strays++
			continue
		}
		return Response{HTTP: response, Body: body}
	}
}

// readBody is the body of an answer, which must not be larger than the limit.
func readBody(response *http.Response, maxBody int) ([]byte, error) {
	if length := response.ContentLength; length >= 0 {
		if length > int64(maxBody) {
			return nil, ErrTooLarge
		}
		if response.Request != nil && response.Request.Method == http.MethodHead {
			return nil, nil
		}
		body := make([]byte, length)
		_, err := io.ReadFull(response.Body, body)
		if err == io.EOF && length == 0 {
			err = nil
		}
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, int64(maxBody)+1))
	if err == nil && len(body) > maxBody {
		err = ErrTooLarge
	}
	return body, err
}

// SetUserTimeout tells the system once how long sent bytes may stay unacknowledged.
func (c *Connection) SetUserTimeout(timeout time.Duration) {
	if c.userTimeout != timeout {
		c.userTimeout = timeout
		setUserTimeout(c.Conn, timeout)
	}
}

// ApplyKeepAlive heeds what a target says of idle connections, a little early.
func (c *Connection) ApplyKeepAlive(header string) {
	_, value, ok := strings.Cut(header, "timeout=")
	if !ok {
		return
	}
	value, _, _ = strings.Cut(value, ",")
	if seconds, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && seconds >= 0 && seconds < 86400 {
		c.idleTimeout = min(c.idleTimeout, time.Duration(seconds)*time.Second*9/10)
	}
}

func (c *Connection) Abort() {
	c.mu.Lock()
	c.dead = true
	c.mu.Unlock()
	closeAbruptly(c.Conn)
}

// Begin claims an idle pipe for a request; false if it died meanwhile.
func (c *Connection) Begin(request *http.Request, maxBody int) (chan Response, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dead {
		return nil, false
	}
	c.request, c.maxBody, c.responses, c.continued = request, maxBody, make(chan Response, 1), make(chan struct{})
	c.writing = true
	return c.responses, true
}

// RequestWritten notes that the whole request is out.
func (c *Connection) RequestWritten() {
	c.mu.Lock()
	c.writing = false
	c.mu.Unlock()
}

func (c *Connection) IsIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.dead && c.request == nil
}

// AwaitContinue waits until the server wants the body, within the short patience; from
// then on the body has the longer one.
func (c *Connection) AwaitContinue(ctx context.Context) error {
	c.mu.Lock()
	continued := c.continued
	c.mu.Unlock()
	wakeup := time.NewTimer(unackedTimeout)
	defer wakeup.Stop()
	select {
	case <-continued:
		c.SetUserTimeout(unackedStreamTimeout)
		return nil
	case <-wakeup.C:
		return errors.New("the server did not take the head in time")
	case <-ctx.Done():
		return ctx.Err()
	}
}

// ConnectionPool keeps the idle pipes by target.
type ConnectionPool struct {
	environment *environment.Environment
	mu          sync.Mutex
	idle        map[string][]*Connection

	// idleLimit bounds how long pipes may idle, whatever their targets say, until a time.
	idleLimit      time.Duration
	idleLimitUntil time.Time
}

func NewConnectionPool(env *environment.Environment) *ConnectionPool {
	return &ConnectionPool{environment: env, idle: map[string][]*Connection{}}
}

func EndpointKey(service, instance, address string) string {
	return service + "\n" + instance + "\n" + address
}

// Get finds an idle pipe or dials for so long; the problem means nothing was written.
func (p *ConnectionPool) Get(ctx context.Context, endpoint, address string, timeout time.Duration) (*Connection, error) {
	for {
		p.mu.Lock()
		idle := p.idle[endpoint]
		if len(idle) == 0 {
			p.mu.Unlock()
			break
		}
		connection := idle[len(idle)-1]
		p.idle[endpoint] = idle[:len(idle)-1]
		now := time.Now()
		idleTimeout := p.idleTimeout(connection, now)
		p.mu.Unlock()
		if connection.IdledFor = now.Sub(connection.idleSince); connection.IsIdle() && connection.IdledFor < idleTimeout {
			return connection, nil
		}
		connection.Abort()
	}
	limited, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn, err := p.environment.Host.Dial(limited, address)
	if err != nil {
		return nil, errcode.New(errcode.NotWritten, "%s: %v", address, err)
	}
	connection := &Connection{Conn: conn, idleTimeout: p.environment.Config.GateIdle}
	if p.environment.Config.GateSeal == "opaque" {
		connection.correlationHeader = p.environment.Config.HeaderRequest
	}
	p.environment.Go(connection.readLoop)
	return connection, nil
}

// idleTimeout is how long a pipe may idle as things stand.
func (p *ConnectionPool) idleTimeout(connection *Connection, now time.Time) time.Duration {
	if now.Before(p.idleLimitUntil) {
		return min(connection.idleTimeout, p.idleLimit)
	}
	return connection.idleTimeout
}

// RecordStale notes that a target had forgotten a pipe that idled for so long, and told
// so only when a request was sent on it. Targets that do so do it to all pipes, and an
// order that is lost so is lost for good: for a while only pipes that idled for much
// less are used.
func (p *ConnectionPool) RecordStale(idledFor time.Duration, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.After(p.idleLimitUntil) {
		p.idleLimit = p.environment.Config.GateIdle
	}
	p.idleLimit = max(min(p.idleLimit, idledFor)/staleIdleDivisor, MinIdleLimit)
	p.idleLimitUntil = now.Add(idleLimitDuration)
}

func (p *ConnectionPool) Put(endpoint string, connection *Connection) {
	if !connection.IsIdle() {
		connection.Abort()
		return
	}
	connection.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[endpoint]) >= maxIdlePerEndpoint || p.environment.IsStopping() {
		connection.Abort()
		return
	}
	p.idle[endpoint] = append(p.idle[endpoint], connection)
}

// Prune closes the pipes of targets that are no longer in the epoch.
func (p *ConnectionPool) Prune(keep func(endpoint string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for endpoint, idle := range p.idle {
		kept := idle[:0]
		for _, connection := range idle {
			if keep(endpoint) && connection.IsIdle() && time.Since(connection.idleSince) < p.idleTimeout(connection, time.Now()) {
				kept = append(kept, connection)
			} else {
				connection.Abort()
			}
		}
		if len(kept) == 0 {
			delete(p.idle, endpoint)
		} else {
			p.idle[endpoint] = kept
		}
	}
}
