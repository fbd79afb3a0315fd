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
	recordTimeout   = 2 * time.Second
	outcomeInterval = time.Second
	maxOutcomeBatch = 1024
)

type orderOutcome struct {
	recordName, holder, state string
}

// recordName lies in one space, so that the claims of all proxies are gathered at
// one owner. It does not hang on the service: a change set may lead the path to
// another one between an order and its repeat.
func recordName(r *http.Request) string {
	sum := sha256.Sum256([]byte(r.Method + "\n" + r.URL.Path + "\n" + r.Header.Get(HeaderIdempotencyKey)))
	return "orders/" + hex.EncodeToString(sum[:16])
}

// errKnown is the answer to a repeat of an order of which something is known.
func errKnown(state, note string) error {
	switch state {
	case Ran:
		return errcode.New(errcode.OrderRan, "%s", note)
	case Unknown:
		return errcode.New(errcode.OrderUnknown, "%s", note)
	}
	return errcode.New(errcode.OrderUnderWay, "%s", note)
}

// acquireRecord asks for the order's key; without it nothing may be handed over.
func (p *Proxy) acquireRecord(plan *requestPlan) error {
	if plan.recordName == "" {
		return nil
	}
	deadline := time.Now().Add(recordTimeout)
	if plan.deadline.Before(deadline) {
		deadline = plan.deadline
	}
	ctx, cancel := context.WithDeadline(p.environment, deadline)
	defer cancel()
	response, err := p.coordinate(ctx, &rpc.CoordinationRequest{Operation: "claim", Name: plan.recordName, Holder: p.holder(plan)})
	if err != nil {
		p.environment.Go(func() { p.releaseRecord(plan) })
		return errcode.New(errcode.NoOwner, "the order can't be claimed: %v", err)
	}
	if response.Code == 0 {
		return nil
	}
	var state string
	json.Unmarshal(response.Value, &state)
	if state == "" && !p.holderAlive(response.Holder) {
		state = Unknown
	}
	return errKnown(state, "request "+response.Holder)
}

// holder names the request, and the life of the proxy that it came to.
func (p *Proxy) holder(plan *requestPlan) string {
	self := p.membership.Self()
	return string(self.Name) + " " + string(self.ID) + " " + plan.requestID
}

// holderAlive tells whether the proxy that claimed an order still lives. If not, it
// will not say any more what became of the order.
func (p *Proxy) holderAlive(holder string) bool {
	fields := strings.Split(holder, " ")
	return len(fields) != 3 || p.membership.IsLive(rpc.Peer{Name: ids.NodeName(fields[0]), ID: ids.MemberID(fields[1])})
}

// releaseRecord frees the key of an order of which nothing was written.
func (p *Proxy) releaseRecord(plan *requestPlan) {
	ctx, cancel := context.WithTimeout(p.environment, 5*recordTimeout)
	defer cancel()
	for ctx.Err() == nil {
		if _, err := p.coordinate(ctx, &rpc.CoordinationRequest{Operation: "unclaim", Name: plan.recordName, Holder: p.holder(plan)}); err == nil {
			return
		}
		p.environment.Sleep(100 * time.Millisecond)
	}
}

// recordOutcome notes what became of a claimed order.
func (p *Proxy) recordOutcome(plan *requestPlan, err error) {
	if plan.recordName == "" {
		return
	}
	state := Ran
	switch {
	case err == nil:
	case errcode.Of(err).Code.Outcome == "not run":
		p.environment.Go(func() { p.releaseRecord(plan) })
		return
	default:
		state = Unknown
	}
	select {
	case p.unwritten <- orderOutcome{plan.recordName, p.holder(plan), state}:
	default:
	}
}

// writeOutcomes writes what was settled, gathered by part.
func (p *Proxy) writeOutcomes() {
	for {
		var batch []orderOutcome
		select {
		case <-p.environment.Done():
			return
		case outcome := <-p.unwritten:
			batch = append(batch, outcome)
		}
		if !p.environment.Sleep(outcomeInterval) {
			return
		}
		for more := true; more && len(batch) < maxOutcomeBatch; {
			select {
			case outcome := <-p.unwritten:
				batch = append(batch, outcome)
			default:
				more = false
			}
		}
		byShard := map[ids.Shard]*rpc.CoordinationRequest{}
		for _, outcome := range batch {
			shard := ids.ShardOf(outcome.recordName)
			if byShard[shard] == nil {
				byShard[shard] = &rpc.CoordinationRequest{Operation: "settle", Name: outcome.recordName}
			}
			value, _ := json.Marshal(outcome.state)
			byShard[shard].Records = append(byShard[shard].Records, rpc.CoordinationRecord{Name: outcome.recordName, Holder: outcome.holder, Value: value})
		}
		for _, operation := range byShard {
			p.environment.Go(func() {
				ctx, cancel := context.WithTimeout(p.environment, 5*recordTimeout)
				defer cancel()
				for ctx.Err() == nil {
					if _, err := p.coordinate(ctx, operation); err == nil {
						return
					}
					p.environment.Sleep(100 * time.Millisecond)
				}
			})
		}
	}
}
