// The Gate takes callers' requests, plans each and carries the plan out. What
// can't be done is answered at once, with a numbered code, the outcome as far
// as it is known, and a spread Retry-After; nothing is ever held back.
package proxy

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/distribution"
	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/eventlog"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/membership"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

const (
	smallBody = 64 << 10

	// noPlanTimes is how much later than for room a caller is asked to come back for
	// a plan.
	noPlanTimes = 5

	// targetsMost is how many targets one request is sent to, if its mapping names
	// no number.
	targetsMost = 4
)

// Gate is one proxy's.
type Gate struct {
	r        *environment.Realm
	flow     *distribution.Client
	table    atomic.Pointer[table]
	pool     *pool
	budget   *Budget
	orders   *Orders
	counters sync.Map
	lane     *lane
	isPlain  bool // answers bear an opaque seal, and nothing of ours is added
	inflight atomic.Int64
	isGoing  atomic.Bool
	// isLeaving is set while a stopping proxy still serves whoever comes.
	isLeaving atomic.Bool
	gossip    *gossip
	sick      *sick
	kin       *membership.Kin
	wire      *rpc.Wire
	settles   chan settled
	bond      func(context.Context, *rpc.BondOp) (*rpc.BondReceipt, error)
	Outcomes  sync.Map
}

func New(r *environment.Realm, f *distribution.Client, w *rpc.Wire, k *membership.Kin, bond func(context.Context, *rpc.BondOp) (*rpc.BondReceipt, error)) *Gate {
	g := &Gate{r: r, flow: f, pool: newPool(r), budget: NewBudget(r.Props.ExtraWindow), lane: newLane(r.Props.GateRate, r.Props.GateBodies), isPlain: r.Props.GateSeal == "opaque", orders: NewOrders(), kin: k, wire: w, bond: bond, settles: make(chan settled, 4096)}
	r.Go(g.settleAll)
	g.gossip = newGossip(r, w, k, g.budget, g.orders, f.Cache.Chart)
	g.sick = newSick(g)
	f.Cache.Subscribe(func(chart *distribution.Chart) {
		t := g.newTable(chart, g.table.Load())
		g.table.Store(t)
		g.budget.Fleet(len(chart.Shares))
		g.pool.prune(func(at string) bool { return t.places[at] })
	})
	return g
}

// Linger serves on, and has every connection closed after its next answer.
func (g *Gate) Linger() { g.isLeaving.Store(true) }

// Stop refuses what comes from now on.
func (g *Gate) Stop() { g.isGoing.Store(true) }

// Close ends the idle pipes.
func (g *Gate) Close() { g.pool.prune(func(string) bool { return false }) }

// Inflight is how many requests are under way.
func (g *Gate) Inflight() int64 { return g.inflight.Load() }

func (g *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	began, n := time.Now(), g.inflight.Add(1)
	defer g.inflight.Add(-1)
	id := ""
	if g.r.Props.GateIds == "caller" {
		id = r.Header.Get(g.r.Props.HeaderRequest)
	} else {
		id = ids.NewID()
	}
	if id != "" {
		w.Header().Set(g.r.Props.HeaderRequest, id)
	}
	if g.isLeaving.Load() {
		w.Header().Set("Connection", "close")
	}
	c, got, err := g.handle(w, r, id, n)
	if err != nil {
		g.refuse(w, r, c, err)
	} else {
		g.pass(w, c, got)
	}
	g.took(c, began, err)
}

// handle plans a request, asks for what it needs, and carries it out.
func (g *Gate) handle(w http.ResponseWriter, r *http.Request, id string, n int64) (*course, *answer, error) {
	if g.isGoing.Load() {
		w.Header().Set("Connection", "close")
		return nil, nil, errcode.New(errcode.Stopping, "")
	}
	if n > int64(g.r.Props.GateInflight) {
		return nil, nil, errcode.New(errcode.Overload, "%d requests are under way", n-1)
	}
	if r.ContentLength > int64(g.r.Props.GateRequest) {
		return nil, nil, errcode.New(errcode.RequestTooLarge, "%d bytes", r.ContentLength)
	}
	c, err := g.course(r, id)
	if c != nil && !g.isPlain {
		w.Header().Set(HeaderEpoch, strconv.FormatUint(uint64(c.chart.Epoch), 10))
	}
	if err != nil {
		return c, nil, err
	}
	done, err := g.gate(c)
	if err != nil {
		return c, nil, err
	}
	defer done()
	if err := g.claim(c); err != nil {
		g.orders.End(c.key, how(err))
		return c, nil, err
	}
	got, err := g.carry(c, r)
	g.orders.End(c.key, how(err))
	g.settle(c, err)
	if c.key != 0 && how(err) == unknown {
		g.gossip.tell(lostOrder{c.key, c.service.Name})
	}
	return c, got, err
}

// how tells what a try that ended so makes known of its order.
func how(err error) string {
	switch {
	case err == nil || errcode.Is(err, errcode.OrderRan):
		return ran
	case errcode.Of(err).Code.Outcome == "unknown" && !errcode.Is(err, errcode.OrderUnderWay):
		return unknown
	}
	return unheardOf
}

// gate holds the proxy's share of the service and the budget of repeats.
func (g *Gate) gate(c *course) (func(), error) {
	under := g.counter("service\n" + c.service.Name)
	n := under.Add(1)
	done := func() { under.Add(-1) }
	if limit := c.chart.Limits[c.service.Name].Inflight; limit > 0 {
		if share := g.share(c.chart, limit); n > share {
			done()
			return nil, errcode.New(errcode.Overload, "%s: the share of this proxy is %d", c.service.Name, share)
		}
	}
	if c.key != 0 && c.claim == "" && !c.isRepeatable {
		if err := g.mayLose(c); err != nil {
			done()
			return nil, err
		}
	}
	state := g.orders.Begin(c.key, c.claim != "")
	c.isRepeat = state != unheardOf
	if c.isRepeat && c.claim != "" {
		done()
		return nil, knownOrder(state, "this proxy handed it over")
	}
	if c.isRepeat && !g.extra(c) {
		g.orders.End(c.key, unheardOf)
		done()
		return nil, errcode.New(errcode.BudgetSpent, "%s: a repeat of a request", c.service.Name)
	}
	return done, nil
}

// mayLose tells whether an order that may be lost can be handed over, although
// its repeat may come to a proxy that does not hear of it, or came from one that
// could not tell this one: the others tell those that the epoch names.
func (g *Gate) mayLose(c *course) error {
	if _, ok := c.chart.Shares[g.r.Name]; !ok {
		return errcode.New(errcode.Overload, "epoch %d does not name this proxy yet", c.chart.Epoch)
	}
	if !g.budget.MayLose(c.service.Name, g.bounds(c)) {
		return errcode.New(errcode.Overload, "%s: orders were lost of which not all proxies know", c.service.Name)
	}
	return nil
}

// share is this proxy's part of a fleet-wide bound, by strength.
func (g *Gate) share(chart *distribution.Chart, whole int) int64 {
	total := 0
	for _, strength := range chart.Shares {
		total += strength
	}
	mine := chart.Shares[g.r.Name]
	if total == 0 || mine == 0 {
		mine, total = 1, len(chart.Shares)+1
	}
	return max(1, int64(whole)*int64(mine)/int64(total))
}

func (g *Gate) counter(key string) *atomic.Int64 {
	if found, ok := g.counters.Load(key); ok {
		return found.(*atomic.Int64)
	}
	found, _ := g.counters.LoadOrStore(key, new(atomic.Int64))
	return found.(*atomic.Int64)
}

func (g *Gate) bounds(c *course) Bounds {
	b := Bounds{Percent: g.r.Props.ExtraPercent, Base: g.r.Props.ExtraBase}
	limit := c.chart.Limits[c.service.Name]
	if limit.ExtraPercent != nil {
		b.Percent = min(b.Percent, *limit.ExtraPercent)
	}
	if limit.ExtraBase != nil {
		b.Base = min(b.Base, *limit.ExtraBase)
	}
	return b
}

func (g *Gate) extra(c *course) bool { return g.budget.Extra(c.service.Name, g.bounds(c)) }

// carry tries targets until one answers. A try that ran nothing, as far as is
// known for certain, may be followed by another; one that may have run something
// only if the request may be repeated. Each target that a request was sent to,
// beyond the first, is paid from the budget of extra tries. A target's own failure at a
// request that may be repeated is passed on only if no other target does better.
func (g *Gate) carry(c *course, r *http.Request) (*answer, error) {
	ctx, end := context.WithDeadline(g.r, c.deadline)
	defer end()
	if c.isRepeatable {
		// A target works for nobody once the caller has gone; what may not be repeated
		// is left to end, for it may have run.
		defer context.AfterFunc(r.Context(), end)()
	}
	body, isWhole, err := g.body(ctx, c, r)
	if err != nil {
		return nil, err
	}
	var problem error
	var failed *answer
	sent, misses := 0, 0
	isWritten := false
	for sent < c.most && misses < targetsMost {
		if r.Context().Err() != nil {
			if !isWritten {
				problem = errcode.New(errcode.NotWritten, "%s: the caller has gone", c.service.Name)
			}
			break
		}
		if len(c.tried) > 0 && !g.lane.await(ctx, r.ContentLength, c.deadline) {
			break
		}
		p := g.assign(c, r.ContentLength)
		if p == nil || sent > 0 && (time.Now().After(c.deadline) || !g.extra(c)) {
			break
		}
		c.tried = append(c.tried, p)
		got, wrote, err := g.try(ctx, c, r, p, body, sent)
		sent, c.doubles = sent+c.doubles, 0
		if err == nil {
			if got.response.StatusCode < 500 || !c.isRepeatable || !isWhole {
				return got, nil
			}
			failed = got
			sent++
			continue
		}
		isRun := wrote && got == nil
		isWritten = isWritten || isRun
		if wrote {
			sent++
		} else {
			misses++
		}
		g.r.Sign.Say(eventlog.TryFailed, "request", c.id, "service", c.service.Name, "instance", p.target.Instance, "wrote", wrote, "cause", err.Error())
		if !isWritten || isRun {
			problem = err
		}
		if isRun && !c.isRepeatable || wrote && !isWhole || errcode.Is(err, errcode.NotFresh) || errcode.Is(err, errcode.BodyCut) {
			break
		}
	}
	if failed != nil {
		return failed, nil
	}
	if problem == nil {
		problem = errcode.New(errcode.NotWritten, "%s", c.service.Name)
	}
	return nil, problem
}

func (g *Gate) pass(w http.ResponseWriter, c *course, got *answer) {
	h := w.Header()
	for name, values := range got.response.Header {
		h[name] = values
	}
	for _, word := range strings.Split(got.response.Header.Get("Connection"), ",") {
		h.Del(strings.TrimSpace(word))
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
	if g.isLeaving.Load() {
		h.Set("Connection", "close")
	}
	if !g.isPlain {
		h.Set(g.r.Props.HeaderRequest, c.id)
		h.Set(HeaderOutcome, "ran")
		h.Set(HeaderEpoch, strconv.FormatUint(uint64(c.chart.Epoch), 10))
	}
	if got.response.StatusCode != http.StatusNoContent && got.response.StatusCode != http.StatusNotModified && got.response.Request.Method != http.MethodHead {
		h.Set("Content-Length", strconv.Itoa(len(got.body)))
	}
	g.note("ran")
	w.WriteHeader(got.response.StatusCode)
	w.Write(got.body)
}

func (g *Gate) note(what string) {
	found, ok := g.Outcomes.Load(what)
	if !ok {
		found, _ = g.Outcomes.LoadOrStore(what, new(atomic.Int64))
	}
	found.(*atomic.Int64).Add(1)
}

// refuse answers at once, and spreads the time to come back. What is said is
// true of the order, if the request bore a key and the order is known here.
func (g *Gate) refuse(w http.ResponseWriter, r *http.Request, c *course, err error) {
	p := errcode.Of(err)
	if key := orderOf(r); key != 0 {
		p = ofOrder(g.orders.Of(key), p)
	}
	g.note(p.Code.Name)
	h := w.Header()
	h.Set("Content-Type", "application/json")
	if !g.isPlain {
		h.Set(HeaderCode, strconv.Itoa(p.Code.No))
		h.Set(HeaderOutcome, p.Code.Outcome)
	}
	if p.Code.Status >= 500 || p.Code.Status == http.StatusTooManyRequests || p.Code.Status == http.StatusConflict {
		least := g.r.Props.GateReturn
		if p.Code.No == errcode.NotFresh.No && least < time.Second {
			// A plan comes later than room does.
			least *= noPlanTimes
		}
		h.Set("Retry-After", comeBack(least))
	}
	status := p.Code.Status
	if status == 499 {
		status = http.StatusBadGateway
	}
	text, _ := json.Marshal(map[string]any{"code": p.Code.No, "name": p.Code.Name, "outcome": p.Code.Outcome, "text": p.Code.Text, "note": p.Note})
	text = append(text, '\n')
	isUnread := r.ContentLength != 0 && isLarge(r.ContentLength) && (c == nil || !c.isRead)
	if isUnread && g.lane.rate > 0 && g.leave(w, status, text) {
		return
	}
	w.WriteHeader(status)
	w.Write(text)
}

// comeBack spreads the time to come back over one to three times the least, in
// seconds; below a second it is told in fractions.
func comeBack(least time.Duration) string {
	if least >= time.Second {
		return strconv.Itoa(int(least/time.Second) * (1 + rand.IntN(3)))
	}
	spread := least + time.Duration(rand.Int64N(int64(2*least)+1))
	return strconv.FormatFloat(spread.Seconds(), 'f', 3, 64)
}
