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

	// After a stale connection, none is used for idleLimitDuration that was idle for more
	// than a part (1/staleIdleDivisor) of its idle time, or MinIdleLimit if that is more.
	staleIdleDivisor  = 4
	idleLimitDuration = 8 * time.Second

	// MinIdleLimit is the shortest idle time that can make a connection stale.
	MinIdleLimit = 100 * time.Millisecond
)

// Config is what a Pool needs.
type Config struct {
	Environment *environment.Environment
	IdleTimeout time.Duration // how long a connection may be idle, unless its target says less
	// CorrelationHeader is the header field by which a response names its request; empty if
	// there is none.
	CorrelationHeader string
}

// Pool keeps the idle connections by endpoint key. It is safe for concurrent use.
type Pool struct {
	config Config

	mu   sync.Mutex // guards all that follows
	idle map[string][]*Connection
	// idleLimit bounds, until idleLimitUntil, how long connections may be idle, whatever
	// their targets say.
	idleLimit      time.Duration
	idleLimitUntil time.Time
}

// NewPool returns an empty pool.
func NewPool(config Config) *Pool {
	return &Pool{config: config, idle: map[string][]*Connection{}}
}

// Get returns the connection to the endpoint that was idle last, or dials its address within
// the timeout. After an error nothing has been written; it is errcode.NotWritten.
func (p *Pool) Get(ctx context.Context, key, address string, timeout time.Duration) (*Connection, error) {
	if connection := p.takeIdle(key); connection != nil {
		return connection, nil
	}
	limited, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn, err := p.config.Environment.Host.Dial(limited, address)
	if err != nil {
		return nil, errcode.New(errcode.NotWritten, "%s: %v", address, err)
	}
	connection := &Connection{conn: conn, idleTimeout: p.config.IdleTimeout, correlationHeader: p.config.CorrelationHeader}
	p.config.Environment.Go(connection.readLoop)
	return connection, nil
}

// takeIdle takes an idle connection to the endpoint out of the pool; nil if there is none
// that may still be used.
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

// idleTimeout is how long a connection may be idle as things stand. p.mu is held.
func (p *Pool) idleTimeout(connection *Connection, now time.Time) time.Duration {
	if now.Before(p.idleLimitUntil) {
		return min(connection.idleTimeout, p.idleLimit)
	}
	return connection.idleTimeout
}

// RecordStale records that a target had dropped a connection which was idle for so long, and
// said so only when a request was sent on it. Targets that do so do it to all connections,
// and a request that is lost so is lost for good: for a while only connections that were
// idle for much less are used.
func (p *Pool) RecordStale(idledFor time.Duration, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.After(p.idleLimitUntil) {
		p.idleLimit = p.config.IdleTimeout
	}
	p.idleLimit = max(min(p.idleLimit, idledFor)/staleIdleDivisor, MinIdleLimit)
	p.idleLimitUntil = now.Add(idleLimitDuration)
}

// Put gives a connection back whose response has been read.
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

// Prune closes the idle connections of endpoints that are not to be kept, and those that may
// not be used any more.
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

// Idle is how many idle connections there are.
func (p *Pool) Idle() (count int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, idle := range p.idle {
		count += len(idle)
	}
	return count
}
