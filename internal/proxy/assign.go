// Assigning a request to a target. Of each target this proxy keeps what it saw
// itself: how long answers take, what is under way, what the target told of its
// weight, and whether it failed. The target whose answer is expected first takes
// the request; one in another zone must be better by a part of the request's aim,
// more so for a large body. A target that can't be reached or stays silent is out
// for a while on this evidence alone, whatever the epoch says.
package proxy

import (
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/distribution"
	"github.com/sumactrestle/sumactrestle/internal/membership"
	"github.com/sumactrestle/sumactrestle/internal/metrics"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

const (
	slotsUnknown = 8
	quietLeast   = 400 * time.Millisecond
	outFirst     = 500 * time.Millisecond
	outMost      = 4 * time.Second
	fullMost     = time.Second
	toldFor      = 250 * time.Millisecond
	paceForgets  = 3 * time.Second
	farBody      = 4096
	calmPercent  = 140
)

// post is one target as this proxy knows it.
type post struct {
	at     string
	mark   string // by what proxies name it to one another
	target rpc.Target
	isNear bool

	mu       sync.Mutex
	under    int           // requests under way from here
	overdue  int           // those of them whose answers are overdue
	pace     time.Duration // how long an answer takes, smoothed
	word     time.Time     // when anything last came from it
	pending  time.Time     // since when something is under way without a word
	outUntil time.Time
	isBarred bool // another instance has its address
	strikes  int
	full     time.Time // until when it is held for full
	fulls    int       // refusals since the last answer that ran
	cold     time.Time
	told     int // running and waiting there, as it last told
	toldAt   time.Time
	toldWith int     // what was under way from here then
	ills     float64 // failures seen here or told of, fading
	illAt    time.Time
}

// crew is the posts of one service in an epoch.
type crew struct {
	posts []*post
	mu    sync.Mutex
	pace  time.Duration
	calm  time.Duration // the pace of calmer times

	ills   float64 // of all posts
	illsAt time.Time

	allowance float64 // of doubles
	doubles   float64 // how large a part of the requests may be doubled
	times     *metrics.Service
}

func (g *Gate) newCrew(service string, list []rpc.Target, old *crew, now time.Time) *crew {
	c := &crew{doubles: float64(g.r.Props.GateDoubles) / 100}
	known := map[string]*post{}
	if old != nil {
		c.pace, c.calm, c.allowance = old.state()
		for _, p := range old.posts {
			known[p.at] = p
		}
	}
	for _, t := range list {
		if t.Weight <= 0 {
			continue
		}
		at := place(service, t.Instance, t.Address)
		p := known[at]
		if p == nil {
			p = &post{at: at, mark: markOf(at), target: t, isNear: t.Zone == g.r.Props.Zone}
			if t.Cold > 0 && old != nil {
				p.cold = now.Add(time.Duration(t.Cold) * time.Millisecond)
			}
		}
		c.posts = append(c.posts, p)
	}
	return c
}

func (c *crew) typical() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pace
}

// isCalm tells whether answers take about as long as in calmer times. If not, that one
// of them is long in coming says little about its target.
func (c *crew) isCalm() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pace <= c.calm*calmPercent/100
}

// state is what the crew of the next epoch takes over.
func (c *crew) state() (pace, calm time.Duration, allowance float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pace, c.calm, c.allowance
}

// learn folds how long one answer took into what the service usually takes.
func (c *crew) learn(took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pace == 0 {
		c.pace = took
	}
	c.pace += (took - c.pace) / 32
	switch {
	case c.calm == 0 || c.pace < c.calm:
		c.calm = c.pace
	default:
		c.calm += (c.pace - c.calm) / 512
	}
	c.allowance = min(c.allowance+c.doubles, doubleMost)
}

// near counts the proxies that share the targets of this zone.
func (g *Gate) near(chart *distribution.Chart) int {
	n := 0
	for name, m := range g.kin.View() {
		if _, isNamed := chart.Shares[name]; isNamed && m.Zone == g.r.Props.Zone && (m.State == membership.Alive || m.State == membership.Suspect) {
			n++
		}
	}
	return max(n, 1)
}

// expect is how long an answer from the post should take, if it can be had.
func (p *post) expect(now time.Time, usual time.Duration, sharers int, ills float64, peers int) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isBarred {
		return 0, false
	}
	pace := p.pace
	switch age := now.Sub(p.word); {
	case pace == 0:
		pace = usual
	case age > paceForgets && pace > usual:
		pace = (pace + usual) / 2
	}
	slots := p.target.Slots
	if slots <= 0 {
		slots = slotsUnknown
	}
	weight := p.target.Weight
	mine := float64(p.under)
	room := max(1, float64(slots)/float64(sharers)) * float64(weight) / 100
	expected := float64(pace) * (1 + mine/room)
	if p.toldAt != (time.Time{}) && now.Sub(p.toldAt) < toldFor {
		there := float64(p.told + p.under - p.toldWith)
		if waiting := there + 1 - float64(slots); waiting > 0 {
			expected = max(expected, float64(pace)*(1+waiting/float64(slots)))
		}
	}
	if now.Before(p.cold) {
		expected *= 2
	}
	over := p.over(now, ills, peers)
	expected *= 1 + 2*over
	isUsable := now.After(p.outUntil) && now.After(p.full) && over < 1
	if p.overdue > 0 || p.under > 0 && now.Sub(p.pending) > max(quietLeast, 6*pace) {
		isUsable = false
	}
	return time.Duration(expected), isUsable
}

// assign picks the post for the next try of a course: of those not tried yet, the
// one whose answer is expected first. If none is usable, the least bad is taken.
func (g *Gate) assign(c *course, size int64) *post {
	now := time.Now()
	usual := c.crew.typical()
	if usual == 0 {
		usual = max(c.aim/4, time.Millisecond)
	}
	far := time.Duration(float64(c.aim) * float64(g.r.Props.GateSpill) / 100 * (1 + float64(size)/farBody))
	ills := c.crew.illness(now)
	var best, spare *post
	var bestCost, spareCost time.Duration
	for _, p := range c.crew.posts {
		if c.hasTried(p) {
			continue
		}
		cost, isUsable := p.expect(now, usual, c.sharers, ills, len(c.crew.posts)-1)
		if cost == 0 && !isUsable {
			continue
		}
		if !p.isNear {
			cost += far
		}
		cost = time.Duration(float64(cost) * (0.95 + 0.1*rand.Float64()))
		if isUsable && (best == nil || cost < bestCost) {
			best, bestCost = p, cost
		}
		if !isUsable && (spare == nil || cost < spareCost) {
			spare, spareCost = p, cost
		}
	}
	if best == nil {
		return spare
	}
	return best
}

func (c *course) hasTried(p *post) bool {
	for _, tried := range c.tried {
		if tried == p {
			return true
		}
	}
	return false
}

// isUsable tells whether the post is neither out nor full.
func (p *post) isUsable(now time.Time) bool {
	_, ok := p.expect(now, time.Second, 1, 0, 1)
	return ok
}

// begin and the verbs after it note what becomes of a try.
func (p *post) begin(now time.Time) {
	p.mu.Lock()
	if p.under == 0 {
		p.pending = now
	}
	p.under++
	p.mu.Unlock()
}

// isOverdue notes that an answer is overdue, or no longer.
func (p *post) isOverdue(n int) {
	p.mu.Lock()
	p.overdue += n
	p.mu.Unlock()
}

func (p *post) end() {
	p.mu.Lock()
	p.under--
	p.mu.Unlock()
}

// answered notes an answer and how long it took; a refusal says nothing on pace, nor
// does a failure, which may come sooner than any answer.
func (p *post) answered(now time.Time, took time.Duration, isRun, isGood bool, told string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.word, p.pending = now, now
	if isGood {
		p.strikes, p.outUntil = 0, time.Time{}
	}
	if isRun {
		p.fulls = 0
		if p.pace == 0 {
			p.pace = took
		}
		p.pace += (took - p.pace) / 8
	}
	if running, waiting, ok := readWeight(told); ok {
		p.told, p.toldAt, p.toldWith = running+waiting, now, p.under
	}
}

// isFull notes that the target turned a request away; one that does so again and again
// is asked ever less often.
func (p *post) isFull(now time.Time, usual time.Duration) {
	p.mu.Lock()
	p.full = now.Add(min(max(usual/2, 10*time.Millisecond)<<min(p.fulls, 6), fullMost))
	p.fulls++
	p.mu.Unlock()
}

// bar keeps the post out for good: its address belongs to another instance.
func (p *post) bar() {
	p.mu.Lock()
	p.isBarred = true
	p.mu.Unlock()
}

// strike notes a failure; a hard one, where the target can't be reached, puts it
// out at once, others when they come together.
func (p *post) strike(now time.Time, isHard bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.strikes++
	if isHard || p.strikes > 2 {
		p.outUntil = now.Add(min(outFirst<<min(p.strikes-1, 4), outMost))
	}
}

// readWeight reads what a target tells: running, waiting, slots.
func readWeight(text string) (running, waiting int, ok bool) {
	if text == "" {
		return 0, 0, false
	}
	words := strings.Split(text, ",")
	if len(words) != 3 {
		return 0, 0, false
	}
	running, one := strconv.Atoi(strings.TrimSpace(words[0]))
	waiting, two := strconv.Atoi(strings.TrimSpace(words[1]))
	return running, waiting, one == nil && two == nil && running >= 0 && waiting >= 0
}
