// A pipe is the asking end of one connection to a peer. It is dialled when
// first needed, shared by all who ask that peer, and dropped at the first
// failure, upon which all who wait on it learn that their receipt is lost.
package wire

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/fault"
	"github.com/sumactrestle/sumactrestle/internal/realm"
)

type pipe struct {
	w       *Wire
	address string
	ready   chan struct{}
	problem error
	conn    net.Conn

	mu      sync.Mutex
	writing realm.Turn
	next    uint64
	waiting map[uint64]chan *Frame
	isOver  bool
	isIdle  bool
	lastGot time.Time
	lastUse time.Time
}

// A pipe on which nothing came for the length of an ask that ran out of time is
// dropped: a connection that lived through a cut may otherwise stay silent for
// as long as TCP's own growing pauses last.
const (
	deafTime = 300 * time.Millisecond
)

func (w *Wire) pipe(ctx context.Context, address string) (*pipe, error) {
	w.mu.Lock()
	p, ok := w.pipes[address]
	if !ok {
		if w.r.IsOver() {
			w.mu.Unlock()
			return nil, fault.New(fault.Unreached, "%s: stopping", address)
		}
		p = &pipe{w: w, address: address, ready: make(chan struct{}), waiting: map[uint64]chan *Frame{}, writing: realm.NewTurn()}
		w.pipes[address] = p
		w.r.Go(p.run)
	}
	w.mu.Unlock()
	select {
	case <-p.ready:
		return p, p.problem
	case <-ctx.Done():
		return nil, fault.New(fault.Unreached, "%s: %v", address, ctx.Err())
	}
}

func (p *pipe) run() {
	ctx, end := context.WithTimeout(p.w.r, p.w.r.Props.WireDial)
	conn, err := p.w.r.Net.Dial(ctx, p.address)
	end()
	if err != nil {
		p.problem = fault.New(fault.Unreached, "%s: %v", p.address, err)
		p.forget()
		close(p.ready)
		return
	}
	p.conn = conn
	if !p.w.keep(conn) {
		p.problem = fault.New(fault.Unreached, "%s: stopping", p.address)
		p.forget()
		close(p.ready)
		return
	}
	p.mu.Lock()
	p.lastUse = time.Now()
	p.mu.Unlock()
	close(p.ready)
	reader := bufio.NewReaderSize(conn, 16<<10)
	for {
		line, err := readLine(reader, p.w.r.Props.WireLine)
		if err != nil {
			break
		}
		receipt := &Frame{}
		if err := json.Unmarshal(line, receipt); err != nil {
			break
		}
		p.mu.Lock()
		p.lastGot = time.Now()
		p.lastUse = p.lastGot
		waiter := p.waiting[receipt.Id]
		delete(p.waiting, receipt.Id)
		p.mu.Unlock()
		if waiter != nil {
			waiter <- receipt
		}
	}
	p.close()
}

// errIdle is of a pipe that was closed as idle just when it was to be used; nothing
// was written.
var errIdle = errors.New("pipe closed as idle")

// sweep closes the pipes on which nothing was asked for a while: each asks its ends
// for signs of life, and a node that talks to a random other now and then would in
// time keep one to each.
func (w *Wire) sweep() {
	for w.r.Pause(w.r.Props.WireIdle / 4) {
		w.mu.Lock()
		pipes := make([]*pipe, 0, len(w.pipes))
		for _, p := range w.pipes {
			pipes = append(pipes, p)
		}
		w.mu.Unlock()
		for _, p := range pipes {
			if p.rest() {
				p.close()
			}
		}
	}
}

// rest marks a pipe as closed if it is idle.
func (p *pipe) rest() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isOver || len(p.waiting) > 0 || p.lastUse.IsZero() || time.Since(p.lastUse) < p.w.r.Props.WireIdle {
		return false
	}
	p.isOver, p.isIdle = true, true
	return true
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
		return nil, fault.New(fault.Unreached, "%s: pipe closed", p.address)
	}
	p.next++
	frame.Id = p.next
	p.waiting[frame.Id] = waiter
	p.lastUse = time.Now()
	p.mu.Unlock()
	raw, err := pack(frame)
	if err != nil {
		return nil, fault.New(fault.Internal, "%v", err)
	}
	sent := time.Now()
	p.w.count(frame.Kind, p.address, raw.size())
	p.writing.Lock()
	p.conn.SetWriteDeadline(time.Now().Add(5 * time.Second))
	err = raw.write(p.conn)
	p.writing.Unlock()
	if err != nil {
		p.close()
		return nil, fault.New(fault.ReplyLost, "%s: %v", p.address, err)
	}
	select {
	case receipt, ok := <-waiter:
		if !ok {
			return nil, fault.New(fault.ReplyLost, "%s: pipe closed", p.address)
		}
		return receipt, nil
	case <-ctx.Done():
		p.mu.Lock()
		delete(p.waiting, frame.Id)
		isDeaf := p.lastGot.Before(sent) && time.Since(sent) > deafTime
		p.mu.Unlock()
		if isDeaf {
			p.close()
		}
		return nil, fault.New(fault.ReplyLost, "%s %s: %v", p.address, frame.Kind, ctx.Err())
	}
}
