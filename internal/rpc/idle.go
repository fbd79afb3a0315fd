package rpc

import (
	"errors"
	"time"
)

// errClosedIdle is returned for a call on a connection that was just closed as idle. Nothing
// of the call was written.
var errClosedIdle = errors.New("connection closed as idle")

// closeIdleConns closes outgoing connections that were not used for peer.idle_timeout. Each
// connection costs keep-alives at both ends, and a node that regularly calls random peers
// would otherwise end up connected to all of them.
func (t *Transport) closeIdleConns() {
	for t.env.Sleep(t.env.Config.PeerIdleTimeout / 4) {
		t.mu.Lock()
		conns := make([]*clientConn, 0, len(t.clientConns))
		for _, conn := range t.clientConns {
			conns = append(conns, conn)
		}
		t.mu.Unlock()
		for _, conn := range conns {
			if conn.markClosedIfIdle() {
				conn.close()
			}
		}
	}
}

// markClosedIfIdle marks the connection as closed if it is idle, so that no call can start on
// it, and reports whether it did. The caller then closes it.
func (c *clientConn) markClosedIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || len(c.pending) > 0 || c.lastUsed.IsZero() || time.Since(c.lastUsed) < c.transport.env.Config.PeerIdleTimeout {
		return false
	}
	c.closed, c.closedIdle = true, true
	return true
}
