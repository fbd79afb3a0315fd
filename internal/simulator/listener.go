package simulator

import (
	"net"
	"sync"
)

type listener struct {
	w       *Network
	address string
	queue   chan *conn
	closed  chan struct{}
	once    sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.queue:
		l.w.awaitThaw(hostOf(l.address))
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) close() { l.once.Do(func() { close(l.closed) }) }

func (l *listener) Close() error {
	l.close()
	l.w.mu.Lock()
	if l.w.listeners[l.address] == l {
		delete(l.w.listeners, l.address)
	}
	l.w.mu.Unlock()
	return nil
}

func (l *listener) Addr() net.Addr { return tcpAddr(l.address) }
