// Pipes on which nothing is asked are closed by their asking end.
package rpc

import (
	"errors"
	"time"
)

// errClosedIdle is of a pipe that was closed as idle just when it was to be used; nothing
// was written.
var errClosedIdle = errors.New("pipe closed as idle")

// closeIdleConns closes the pipes on which nothing was asked for a while: each asks its ends
// for signs of life, and a node that talks to a random other now and then would in
// time keep one to each.
func (t *Transport) closeIdleConns() {
	for t.env.Sleep(t.env.Config.WireIdle / 4) {
		t.mu.Lock()
		conns := make([]*clientConn, 0, len(t.clientConns))
		for _, conn := range t.clientConns {
			conns = append(conns, conn)
		}
		t.mu.Unlock()
		for _, conn := range conns {
			if conn.markIdle() {
				conn.close()
			}
		}
	}
}

// markIdle marks a pipe as closed if it is idle.
func (c *clientConn) markIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || len(c.pending) > 0 || c.lastUsed.IsZero() || time.Since(c.lastUsed) < c.transport.env.Config.WireIdle {
		return false
	}
	c.closed, c.closedIdle = true, true
	return true
}
