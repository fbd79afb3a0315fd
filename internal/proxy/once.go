// Orders that must not run twice even if their callers repeat them: one with a
// caller's key, on a mapping that is not repeatable and does not decline, is
// claimed in the replicated state before it is handed over. A repeat, through
// whatever proxy, finds the claim and is told what became of the first. A claim
// whose request was never written is given back; one whose proxy died stands, and
// its order is told as unknown. The claims of all proxies are gathered for a moment
// at their owner and written as one; what became of them is written once a second.
package proxy

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

const (
	claimTime   = 2 * time.Second
	settlePause = time.Second
	settleMost  = 1024
)

type settled struct {
	name, request, state string
}

// claimName lies in one space, so that the claims of all proxies are gathered at
// one owner. It does not hang on the service: a change set may lead the path to
// another one between an order and its repeat.
func claimName(r *http.Request) string {
	sum := sha256.Sum256([]byte(r.Method + "\n" + r.URL.Path + "\n" + r.Header.Get(HeaderOnce)))
	return "orders/" + hex.EncodeToString(sum[:16])
}

// knownOrder is the answer to a repeat of an order of which something is known.
func knownOrder(state, note string) error {
	switch state {
	case ran:
		return errcode.New(errcode.OrderRan, "%s", note)
	case unknown:
		return errcode.New(errcode.OrderUnknown, "%s", note)
	}
	return errcode.New(errcode.OrderUnderWay, "%s", note)
}

// claim asks for the order's key; without it nothing may be handed over.
func (g *Gate) claim(c *course) error {
	if c.claim == "" {
		return nil
	}
	limit := time.Now().Add(claimTime)
	if c.deadline.Before(limit) {
		limit = c.deadline
	}
	ctx, end := context.WithDeadline(g.r, limit)
	defer end()
	receipt, err := g.bond(ctx, &rpc.BondOp{Op: "claim", Name: c.claim, Holder: g.holder(c)})
	if err != nil {
		g.r.Go(func() { g.giveBack(c) })
		return errcode.New(errcode.NoOwner, "the order can't be claimed: %v", err)
	}
	if receipt.Code == 0 {
		return nil
	}
	var state string
	json.Unmarshal(receipt.Value, &state)
	if state == "" && !g.isThere(receipt.Holder) {
		state = unknown
	}
	return knownOrder(state, "request "+receipt.Holder)
}

// holder names the request, and the life of the proxy that it came to.
func (g *Gate) holder(c *course) string {
	me := g.kin.Me()
	return string(me.Name) + " " + string(me.Birth) + " " + c.id
}

// isThere tells whether the proxy that claimed an order still lives. If not, it
// will not say any more what became of the order.
func (g *Gate) isThere(holder string) bool {
	words := strings.Split(holder, " ")
	return len(words) != 3 || g.kin.IsLive(rpc.Peer{Name: ids.Name(words[0]), Birth: ids.Birth(words[1])})
}

// giveBack frees the key of an order of which nothing was written.
func (g *Gate) giveBack(c *course) {
	ctx, end := context.WithTimeout(g.r, 5*claimTime)
	defer end()
	for ctx.Err() == nil {
		if _, err := g.bond(ctx, &rpc.BondOp{Op: "unclaim", Name: c.claim, Holder: g.holder(c)}); err == nil {
			return
		}
		g.r.Pause(100 * time.Millisecond)
	}
}

// settle notes what became of a claimed order.
func (g *Gate) settle(c *course, err error) {
	if c.claim == "" {
		return
	}
	state := ran
	switch {
	case err == nil:
	case errcode.Of(err).Code.Outcome == "not run":
		g.r.Go(func() { g.giveBack(c) })
		return
	default:
		state = unknown
	}
	select {
	case g.settles <- settled{c.claim, g.holder(c), state}:
	default:
	}
}

// settleAll writes what was settled, gathered by part.
func (g *Gate) settleAll() {
	for {
		var batch []settled
		select {
		case <-g.r.Done():
			return
		case s := <-g.settles:
			batch = append(batch, s)
		}
		if !g.r.Pause(settlePause) {
			return
		}
		for isMore := true; isMore && len(batch) < settleMost; {
			select {
			case s := <-g.settles:
				batch = append(batch, s)
			default:
				isMore = false
			}
		}
		byPart := map[ids.Part]*rpc.BondOp{}
		for _, s := range batch {
			no := ids.PartOf(s.name)
			if byPart[no] == nil {
				byPart[no] = &rpc.BondOp{Op: "settle", Name: s.name}
			}
			value, _ := json.Marshal(s.state)
			byPart[no].Records = append(byPart[no].Records, rpc.BondRecord{Name: s.name, Holder: s.request, Value: value})
		}
		for _, op := range byPart {
			g.r.Go(func() {
				ctx, end := context.WithTimeout(g.r, 5*claimTime)
				defer end()
				for ctx.Err() == nil {
					if _, err := g.bond(ctx, op); err == nil {
						return
					}
					g.r.Pause(100 * time.Millisecond)
				}
			})
		}
	}
}
