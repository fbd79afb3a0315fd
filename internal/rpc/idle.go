package rpc

import (
	"errors"
	"time"
)

// errClosedIdle is that of a call on a connection that was closed as idle just before;
// nothing was written.
var errClosedIdle = errors.New("connection closed as idle")

// closeIdleConns closes the outgoing connections on which nothing was asked for a while
// (peer.idle_timeout). Each costs keep-alives at both ends, and a node that calls a random peer now
// and then would in time keep a connection to each of them.
func (t *Transport) closeIdleConns() {
	for t.env.Sleep(t.env.Config.PeerIdleTimeout / 4) {
		t.mu.Lock()
		conns := make([]*clientConn, 0, len(t.clientConns))
		for _, conn := range t.clientConns {
			conns = append(conns, conn)
		}
		t.mu.Unlock()
		for _, conn := range conns {
			if conn.retireIfIdle() {
				conn.close()
			}
		}
	}
}

// retireIfIdle marks the connection as closed if it is idle, and reports whether it did. From
// then on no call can start on it.
func (c *clientConn) retireIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || len(c.pending) > 0 || c.lastUsed.IsZero() || time.Since(c.lastUsed) < c.transport.env.Config.PeerIdleTimeout {
		return false
	}
	c.closed, c.closedIdle = true, true
	return true
}
