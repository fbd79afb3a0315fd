package upstream

import (
	"context"
	"sync"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
)

const (
	maxIdlePerEndpoint = 64

	// For idleLimitDuration after a stale connection, the idle time of connections is limited
	// to 1/staleIdleDivisor of the stale connection's idle time, but at least MinIdleLimit.
	staleIdleDivisor  = 4
	idleLimitDuration = 8 * time.Second

	// MinIdleLimit is the idle time below which a connection is not considered stale.
	MinIdleLimit = 100 * time.Millisecond
)

// Config holds the dependencies and settings of a Pool.
type Config struct {
	Environment *environment.Environment
	IdleTimeout time.Duration // longest idle time of a connection, unless its target sets a shorter one
	// CorrelationHeader is the header field in which a response names its request; empty if
	// responses name none.
	CorrelationHeader string
}

// Pool holds the idle connections by endpoint key. It is safe for concurrent use.
type Pool struct {
	config Config

	mu   sync.Mutex // guards the fields below
	idle map[string][]*Connection
	// idleLimit bounds the idle time of all connections until idleLimitUntil, in addition to
	// their own idle timeouts.
	idleLimit      time.Duration
	idleLimitUntil time.Time
}

// NewPool returns an empty pool.
func NewPool(config Config) *Pool {
	return &Pool{config: config, idle: map[string][]*Connection{}}
}

// Get returns the most recently used idle connection to the endpoint, or dials the address
// within the timeout. Its error is errcode.NotWritten, as nothing has been written.
func (p *Pool) Get(ctx context.Context, key, address string, timeout time.Duration) (*Connection, error) {
	if connection := p.takeIdle(key); connection != nil {
		return connection, nil
	}
	dialCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn, err := p.config.Environment.Host.Dial(dialCtx, address)
	if err != nil {
		return nil, errcode.New(errcode.NotWritten, "%s: %v", address, err)
	}
	connection := &Connection{conn: conn, idleTimeout: p.config.IdleTimeout, correlationHeader: p.config.CorrelationHeader}
	p.config.Environment.Go(connection.readLoop)
	return connection, nil
}

// takeIdle removes a usable idle connection to the endpoint from the pool and returns it; nil
// if there is none.
func (p *Pool) takeIdle(key string) *Connection {
	for {
		p.mu.Lock()
		idle := p.idle[key]
		if len(idle) == 0 {
			p.mu.Unlock()
			return nil
		}
		connection := idle[len(idle)-1]
		p.idle[key] = idle[:len(idle)-1]
		now := time.Now()
		idleTimeout := p.idleTimeout(connection, now)
		p.mu.Unlock()
		if connection.idledFor = now.Sub(connection.idleSince); connection.isIdle() && connection.idledFor < idleTimeout {
			return connection
		}
		connection.Abort()
	}
}

// idleTimeout returns how long a connection may currently be idle. The caller holds p.mu.
func (p *Pool) idleTimeout(connection *Connection, now time.Time) time.Duration {
	if now.Before(p.idleLimitUntil) {
		return min(connection.idleTimeout, p.idleLimit)
	}
	return connection.idleTimeout
}

// RecordStale records that a target had dropped a connection after the given idle time, and
// that the proxy learned of it only when it sent a request. Such a target does this to all its
// connections, and a request lost this way can't be recovered, so for idleLimitDuration only
// connections with a much shorter idle time are used.
func (p *Pool) RecordStale(idledFor time.Duration, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.After(p.idleLimitUntil) {
		p.idleLimit = p.config.IdleTimeout
	}
	p.idleLimit = max(min(p.idleLimit, idledFor)/staleIdleDivisor, MinIdleLimit)
	p.idleLimitUntil = now.Add(idleLimitDuration)
}

// Put returns a connection to the pool after its response has been read. It closes the
// connection if it can't be reused or the pool holds enough.
func (p *Pool) Put(key string, connection *Connection) {
	if !connection.isIdle() {
		connection.Abort()
		return
	}
	connection.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[key]) >= maxIdlePerEndpoint || p.config.Environment.IsStopping() {
		connection.Abort()
		return
	}
	p.idle[key] = append(p.idle[key], connection)
}

// Prune closes the idle connections of endpoints for which keep returns false, and those that
// are dead or have exceeded their idle timeout.
func (p *Pool) Prune(keep func(key string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, idle := range p.idle {
		kept := idle[:0]
		for _, connection := range idle {
			if keep(key) && connection.isIdle() && time.Since(connection.idleSince) < p.idleTimeout(connection, time.Now()) {
				kept = append(kept, connection)
			} else {
				connection.Abort()
			}
		}
		if len(kept) == 0 {
			delete(p.idle, key)
		} else {
			p.idle[key] = kept
		}
	}
}

// Close closes all idle connections.
func (p *Pool) Close() { p.Prune(func(string) bool { return false }) }

// Idle returns the number of idle connections.
func (p *Pool) Idle() (count int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, idle := range p.idle {
		count += len(idle)
	}
	return count
}
