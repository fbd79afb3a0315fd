// Pipes on which nothing is asked are closed by their asking end.
package rpc

import (
	"errors"
	"time"
)

// errIdle is of a pipe that was closed as idle just when it was to be used; nothing
// was written.
var errIdle = errors.New("pipe closed as idle")

// sweep closes the pipes on which nothing was asked for a while: each asks its ends
// for signs of life, and a node that talks to a random other now and then would in
// time keep one to each.
func (w *Wire) sweep() {
	for w.r.Sleep(w.r.Config.WireIdle / 4) {
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
	if p.isOver || len(p.waiting) > 0 || p.lastUse.IsZero() || time.Since(p.lastUse) < p.w.r.Config.WireIdle {
		return false
	}
	p.isOver, p.isIdle = true, true
	return true
}
