package simulator

import (
	"net"
	"sync"
	"time"
)

type packet struct {
	due  time.Time
	from string
	data []byte
}

type packetConn struct {
	w       *Network
	address string
	queue   chan packet
	closed  chan struct{}
	once    sync.Once
}

func (p *packetConn) ReadFrom(b []byte) (int, net.Addr, error) {
	for {
		select {
		case got := <-p.queue:
			if d := time.Until(got.due); d > 0 {
				waitForEvent(time.Time{}, got.due, p.closed)
			}
			p.w.awaitThaw(hostOf(p.address))
			p.w.mu.Lock()
			isBlocked := p.w.blocked(hostOf(got.from), hostOf(p.address))
			p.w.mu.Unlock()
			if isBlocked {
				continue
			}
			return copy(b, got.data), tcpAddr(got.from), nil
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
	w, from := p.w, hostOf(p.address)
	w.awaitThaw(from)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.countBytes(from, hostOf(to.String()), len(b)+28)
	target := w.packetConns[to.String()]
	if target == nil || w.blocked(from, hostOf(to.String())) || w.rand.Float64() < w.lossRate {
		return len(b), nil
	}
	due := w.arrivalTime(from, hostOf(to.String()), time.Now(), len(b)+28)
	if time.Until(due) > queueMost {
		return len(b), nil
	}
	select {
	case target.queue <- packet{due, p.address, append([]byte(nil), b...)}:
	default:
	}
	return len(b), nil
}

func (p *packetConn) shut() { p.once.Do(func() { close(p.closed) }) }

func (p *packetConn) Close() error {
	p.shut()
	p.w.mu.Lock()
	if p.w.packetConns[p.address] == p {
		delete(p.w.packetConns, p.address)
	}
	p.w.mu.Unlock()
	return nil
}

func (p *packetConn) LocalAddr() net.Addr { return tcpAddr(p.address) }

func (p *packetConn) SetDeadline(t time.Time) error { return nil }

func (p *packetConn) SetReadDeadline(t time.Time) error { return nil }

func (p *packetConn) SetWriteDeadline(t time.Time) error { return nil }
