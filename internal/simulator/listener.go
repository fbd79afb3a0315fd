package simulator

import (
	"net"
	"sync"
)

type listener struct {
	network *Network
	address string
	queue   chan *conn
	closed  chan struct{}
	once    sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.queue:
		l.network.awaitUnfrozen(hostOf(l.address))
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) close() { l.once.Do(func() { close(l.closed) }) }

func (l *listener) Close() error {
	l.close()
	l.network.mu.Lock()
	if l.network.listeners[l.address] == l {
		delete(l.network.listeners, l.address)
	}
	l.network.mu.Unlock()
	return nil
}

func (l *listener) Addr() net.Addr { return tcpAddr(l.address) }
