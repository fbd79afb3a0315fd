package simulator

import (
	"net"
	"sync"
	"time"
)

type packet struct {
	deliverAt time.Time
	from      string
	data      []byte
}

// packetConn is a simulated UDP socket. It drops datagrams that are lost, blocked, delayed by more
// than maxQueueDelay, or in excess of the receiver's queue. Each datagram counts 28 more bytes for
// its IP and UDP headers.
type packetConn struct {
	network *Network
	address string
	queue   chan packet
	closed  chan struct{}
	once    sync.Once
}

func (p *packetConn) ReadFrom(b []byte) (int, net.Addr, error) {
	for {
		select {
		case received := <-p.queue:
			if d := time.Until(received.deliverAt); d > 0 {
				waitForEvent(time.Time{}, received.deliverAt, p.closed)
			}
			p.network.awaitUnfrozen(hostOf(p.address))
			p.network.mu.Lock()
			isBlocked := p.network.blocked(hostOf(received.from), hostOf(p.address))
			p.network.mu.Unlock()
			if isBlocked {
				continue
			}
			return copy(b, received.data), tcpAddr(received.from), nil
		case <-p.closed:
			return 0, nil, net.ErrClosed
		}
	}
}

func (p *packetConn) WriteTo(b []byte, to net.Addr) (int, error) {
	select {
	case <-p.closed:
		return 0, net.ErrClosed
	default:
	}
	n, from := p.network, hostOf(p.address)
	n.awaitUnfrozen(from)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.countBytes(from, hostOf(to.String()), len(b)+28)
	receiver := n.packetConns[to.String()]
	if receiver == nil || n.blocked(from, hostOf(to.String())) || n.rand.Float64() < n.lossRate {
		return len(b), nil
	}
	deliverAt := n.arrivalTime(from, hostOf(to.String()), time.Now(), len(b)+28)
	if time.Until(deliverAt) > maxQueueDelay {
		return len(b), nil
	}
	select {
	case receiver.queue <- packet{deliverAt, p.address, append([]byte(nil), b...)}:
	default:
	}
	return len(b), nil
}

func (p *packetConn) close() { p.once.Do(func() { close(p.closed) }) }

func (p *packetConn) Close() error {
	p.close()
	p.network.mu.Lock()
	if p.network.packetConns[p.address] == p {
		delete(p.network.packetConns, p.address)
	}
	p.network.mu.Unlock()
	return nil
}

func (p *packetConn) LocalAddr() net.Addr { return tcpAddr(p.address) }

func (p *packetConn) SetDeadline(t time.Time) error { return nil }

func (p *packetConn) SetReadDeadline(t time.Time) error { return nil }

func (p *packetConn) SetWriteDeadline(t time.Time) error { return nil }
