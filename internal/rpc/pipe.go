// A pipe is the asking end of one connection to a peer. It is dialled when
// first needed, shared by all who ask that peer, and dropped at the first
// failure, upon which all who wait on it learn that their receipt is lost.
package rpc

import (
	"bufio"
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
)

type pipe struct {
	w       *Wire
	address string
	ready   chan struct{}
	problem error
	conn    net.Conn

	mu      sync.Mutex
	writing environment.ChanMutex
	next    uint64
	waiting map[uint64]chan *Frame
	isOver  bool
	isIdle  bool
	lastGot time.Time
	lastUse time.Time
}

// heard notes each byte that comes. A pipe on which none came for the length of an ask
// that ran out of time is dropped: a connection that lived through a cut may otherwise
// stay silent for as long as TCP's own growing pauses last. One that is in the midst of
// a long receipt is not: that would begin anew, and fill the link that made it late.
type heard struct{ p *pipe }

func (h heard) Read(to []byte) (int, error) {
	n, err := h.p.conn.Read(to)
	if n > 0 {
		h.p.mu.Lock()
		h.p.lastGot = time.Now()
		h.p.mu.Unlock()
	}
	return n, err
}

func (w *Wire) pipe(ctx context.Context, address string) (*pipe, error) {
	w.mu.Lock()
	p, ok := w.pipes[address]
	if !ok {
		if w.r.IsStopping() {
			w.mu.Unlock()
			return nil, errcode.New(errcode.Unreached, "%s: stopping", address)
		}
		p = &pipe{w: w, address: address, ready: make(chan struct{}), waiting: map[uint64]chan *Frame{}, writing: environment.NewChanMutex()}
		w.pipes[address] = p
		w.r.Go(p.run)
	}
	w.mu.Unlock()
	select {
	case <-p.ready:
		return p, p.problem
	case <-ctx.Done():
		return nil, errcode.New(errcode.Unreached, "%s: %v", address, ctx.Err())
	}
}

func (p *pipe) run() {
	conn, err := p.dial()
	if err != nil {
		p.problem = errcode.New(errcode.Unreached, "%s: %v", p.address, err)
		p.forget()
		close(p.ready)
		return
	}
	p.conn = conn
	if !p.w.keep(conn) {
		p.problem = errcode.New(errcode.Unreached, "%s: stopping", p.address)
		p.forget()
		close(p.ready)
		return
	}
	p.mu.Lock()
	p.lastUse = time.Now()
	p.mu.Unlock()
	close(p.ready)
	reader := bufio.NewReaderSize(heard{p}, 16<<10)
	for {
		line, err := readLine(reader, p.w.r.Config.WireLine)
		if err != nil {
			break
		}
		receipt := &Frame{}
		if err := json.Unmarshal(line, receipt); err != nil {
			break
		}
		p.mu.Lock()
		p.lastUse = time.Now()
		waiter := p.waiting[receipt.ID]
		delete(p.waiting, receipt.ID)
		p.mu.Unlock()
		if waiter != nil {
			waiter <- receipt
		}
	}
	p.close()
}

// dials is how many connections are tried for one pipe: a machine that was down when
// the first was asked for is asked again by the system only after a second.
const dials = 3

// dial opens a connection. While none is there and none was refused, another is tried
// beside it after a part of the time; the first that opens is the pipe's.
func (p *pipe) dial() (net.Conn, error) {
	ctx, end := context.WithTimeout(p.w.r, p.w.r.Config.WireDial)
	defer end()
	type opened struct {
		conn net.Conn
		err  error
	}
	results := make(chan opened, dials)
	begin := func() {
		p.w.r.Go(func() {
			conn, err := p.w.r.Host.Dial(ctx, p.address)
			results <- opened{conn, err}
		})
	}
	again := time.NewTicker(p.w.r.Config.WireDial / dials)
	defer again.Stop()
	begin()
	begun := 1
	for {
		select {
		case got := <-results:
			left := begun - 1
			p.w.r.Go(func() {
				for range left {
					if late := <-results; late.conn != nil {
						late.conn.Close()
					}
				}
			})
			return got.conn, got.err
		case <-again.C:
			if begun < dials {
				begin()
				begun++
			}
		}
	}
}

func (p *pipe) forget() {
	p.w.mu.Lock()
	if p.w.pipes[p.address] == p {
		delete(p.w.pipes, p.address)
	}
	p.w.mu.Unlock()
}

func (p *pipe) close() {
	p.forget()
	p.w.drop(p.conn)
	p.mu.Lock()
	p.isOver = true
	for id, waiter := range p.waiting {
		delete(p.waiting, id)
		close(waiter)
	}
	p.mu.Unlock()
}

func (p *pipe) ask(ctx context.Context, frame *Frame) (*Frame, error) {
	waiter := make(chan *Frame, 1)
	p.mu.Lock()
	if p.isIdle {
		p.mu.Unlock()
		p.forget()
		return nil, errIdle
	}
	if p.isOver {
		p.mu.Unlock()
		return nil, errcode.New(errcode.Unreached, "%s: pipe closed", p.address)
	}
	p.next++
	frame.ID = p.next
	p.waiting[frame.ID] = waiter
	p.lastUse = time.Now()
	p.mu.Unlock()
	raw, err := pack(frame)
	if err != nil {
		return nil, errcode.New(errcode.Internal, "%v", err)
	}
	sent := time.Now()
	p.w.count(frame.Kind, p.address, raw.size())
	p.writing.Lock()
	p.conn.SetWriteDeadline(time.Now().Add(5 * time.Second))
	err = raw.write(p.conn)
	p.writing.Unlock()
	if err != nil {
		p.close()
		return nil, errcode.New(errcode.ReplyLost, "%s: %v", p.address, err)
	}
	select {
	case receipt, ok := <-waiter:
		if !ok {
			return nil, errcode.New(errcode.ReplyLost, "%s: pipe closed", p.address)
		}
		return receipt, nil
	case <-ctx.Done():
		p.mu.Lock()
		delete(p.waiting, frame.ID)
		isDeaf := p.lastGot.Before(sent) && time.Since(sent) > p.w.r.Config.WireDeaf
		p.mu.Unlock()
		if isDeaf {
			p.close()
		}
		return nil, errcode.New(errcode.ReplyLost, "%s %s: %v", p.address, frame.Kind, ctx.Err())
	}
}
