// The proxy's tasks: one full fetch at start, trying the control nodes in list
// order; then one listening task for each control node; and beside them one
// pulse, which renews how freshly the epoch in use is confirmed. The pauses of
// the source are shortened and spread, for here two seconds are the bound.
package flow

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/kin"
	"github.com/sumactrestle/sumactrestle/internal/mark"
	"github.com/sumactrestle/sumactrestle/internal/realm"
	"github.com/sumactrestle/sumactrestle/internal/sign"
	"github.com/sumactrestle/sumactrestle/internal/wire"
)

// Ages is as of when an epoch, and each part in it, was known to be in force.
type Ages struct {
	Epoch  mark.Epoch
	Config time.Time
	Parts  [mark.Parts]time.Time
}

// Vouched is the newest ages, and the last that vouch for the epoch before.
type Vouched struct{ Newest, Before Ages }

const (
	nearPause    = 40 * time.Millisecond
	catchUpPause = 100 * time.Millisecond
)

// Client is one proxy's.
type Client struct {
	r     *realm.Realm
	w     *wire.Wire
	k     *kin.Kin
	Cache *Cache
	ages  atomic.Pointer[Vouched]
	word  atomic.Pointer[time.Time] // when anything last came from a control node
	born  time.Time
	began atomic.Bool

	isCatchingUp atomic.Bool

	mu        sync.Mutex
	listening map[mark.Name]string
	fetching  realm.Turn
	isFresh   bool
}

func NewClient(r *realm.Realm, w *wire.Wire, k *kin.Kin) *Client {
	c := &Client{r: r, w: w, k: k, born: r.Now(), Cache: NewCache(r.Sign), listening: map[mark.Name]string{}, fetching: realm.NewTurn()}
	c.ages.Store(&Vouched{})
	return c
}

// keepListening has one task for each control node there is.
func (c *Client) keepListening() {
	for {
		for _, m := range c.servers() {
			c.mu.Lock()
			isNew := c.listening[m.Name] != m.Wire
			if isNew {
				c.listening[m.Name] = m.Wire
			}
			c.mu.Unlock()
			if isNew {
				c.r.Go(func() { c.listen(m.Name, m.Wire) })
			}
		}
		if !c.r.Pause(500 * time.Millisecond) {
			return
		}
	}
}

// servers is the control nodes listened to: all, or the nearest few, of which one
// at least stands in another zone if there is one.
func (c *Client) servers() []wire.Member {
	cores, most := c.k.Keepers(), c.r.Props.FlowServers
	if most == 0 || len(cores) <= most {
		return cores
	}
	some := cores[:most:most]
	if most > 1 && some[most-1].Zone == c.r.Props.Zone {
		for _, m := range cores[most:] {
			if m.Zone != c.r.Props.Zone {
				some[most-1] = m
				break
			}
		}
	}
	return some
}

// listen is the task for one control node; it ends when the node is no longer one
// to listen to.
func (c *Client) listen(name mark.Name, address string) {
	defer func() {
		c.mu.Lock()
		if c.listening[name] == address {
			delete(c.listening, name)
		}
		c.mu.Unlock()
	}()
	tries := 0
	for !c.r.IsOver() {
		if !slices.ContainsFunc(c.servers(), func(m wire.Member) bool { return m.Name == name && m.Wire == address }) {
			return
		}
		isNewer, err := c.poll(address)
		pause := time.Duration(0)
		switch {
		case err != nil:
			tries++
			c.r.Sign.Say(sign.ListenFailed, "node", string(name), "tries", tries, "cause", err.Error())
			pause = c.r.Props.FlowRetry
			if tries >= c.r.Props.FlowTries {
				tries, pause = 0, c.r.Props.FlowCool
			}
		case !isNewer:
			tries, pause = 0, c.r.Props.FlowPause
		default:
			tries = 0
		}
		if pause > 0 && !c.r.Pause(realm.Jitter(pause)) {
			return
		}
	}
}

// poll is one held listener request and, if it names groups, their fetch.
func (c *Client) poll(address string) (isNewer bool, err error) {
	epoch, have := c.Cache.Have()
	ctx, end := context.WithTimeout(c.r, c.r.Props.FlowHold+2*time.Second)
	defer end()
	var receipt wire.ListenReceipt
	ask := &wire.ListenAsk{Epoch: epoch, Have: have}
	if chart := c.Cache.Chart(); chart != nil && chart.Epoch == epoch {
		ask.Sum, ask.Have = chart.sum, nil
		near := c.servers()
		ask.Small = c.r.Props.FlowServers > 0 && len(near) > 0 && near[0].Wire == address
	}
	if err := c.w.Ask(ctx, address, "flow.listen", ask, &receipt); err != nil {
		return false, err
	}
	if receipt.Lost {
		// Where the epoch is not known any more, or not yet, each group is named.
		receipt = wire.ListenReceipt{}
		if err := c.w.Ask(ctx, address, "flow.listen", &wire.ListenAsk{Epoch: epoch, Have: have}, &receipt); err != nil {
			return false, err
		}
	}
	if receipt.Epoch <= epoch {
		return true, nil
	}
	isNewer = len(receipt.Groups) > 0 && c.Cache.Stage(receipt.Groups)
	manifest := c.Cache.Delta(have, &receipt)
	if len(c.Cache.Missing(manifest)) == 0 {
		ok, err := c.Cache.Swap(receipt.Epoch, manifest)
		return ok || isNewer, err
	}
	c.fetching.Lock()
	defer c.fetching.Unlock()
	if now, _ := c.Cache.Have(); receipt.Epoch <= now {
		return true, nil
	}
	if missing := c.Cache.Missing(manifest); len(missing) > 0 {
		if c.leavesToNear(address) {
			if now, _ := c.Cache.Have(); receipt.Epoch <= now {
				return true, nil
			}
		}
		limited, stop := context.WithTimeout(c.r, 3*time.Second)
		defer stop()
		var fetched wire.FetchReceipt
		if err := c.w.Ask(limited, address, "flow.fetch", &wire.FetchAsk{Groups: missing, Held: c.Cache.Holds(missing)}, &fetched); err != nil {
			return false, err
		}
		isNewer = c.Cache.Stage(fetched.Groups) || isNewer
		left := c.Cache.Missing(manifest)
		left = slices.DeleteFunc(left, func(name string) bool { return fetched.Groups[name].Base == "" })
		if len(left) > 0 {
			// A difference that did not fit is fetched whole.
			fetched = wire.FetchReceipt{}
			if err := c.w.Ask(limited, address, "flow.fetch", &wire.FetchAsk{Groups: left}, &fetched); err != nil {
				return false, err
			}
			isNewer = c.Cache.Stage(fetched.Groups) || isNewer
		}
	}
	ok, err := c.Cache.Swap(receipt.Epoch, manifest)
	return ok || isNewer, err
}

// leavesToNear gives the listener of a control node in the own zone a moment to
// fetch first, if there is one, so that groups seldom come from another zone.
func (c *Client) leavesToNear(address string) bool {
	if cores := c.k.Keepers(); c.k.IsNear(address) || len(cores) == 0 || !c.k.IsNear(cores[0].Wire) {
		return false
	}
	c.fetching.Unlock()
	defer c.fetching.Lock()
	return c.r.Pause(nearPause)
}

// pulse renews freshness through one control node, the nearest that answers. Until
// the first plan is fresh it asks more often, for so long nothing can be served.
func (c *Client) pulse() {
	pick := 0
	for c.r.Pause(realm.Jitter(c.pulsePause())) {
		cores := c.k.Keepers()
		if len(cores) == 0 {
			continue
		}
		for try := 0; try < 2; try++ {
			m := cores[pick%len(cores)]
			sent := c.r.Now()
			ctx, end := context.WithTimeout(c.r, min(c.r.Props.FlowPulse, 400*time.Millisecond)+100*time.Millisecond)
			var receipt wire.PulseReceipt
			err := c.w.Ask(ctx, m.Wire, "flow.pulse", &wire.PulseAsk{}, &receipt)
			end()
			if err == nil {
				c.renew(sent, &receipt)
				c.catchUp(m.Wire, receipt.Epoch)
				break
			}
			pick++
		}
		c.tell()
	}
}

// catchUp asks where a newer epoch was heard of, if those listened to are slow to
// tell of it.
func (c *Client) catchUp(address string, epoch mark.Epoch) {
	isBehind := func() bool { now, _ := c.Cache.Have(); return now > 0 && now < epoch }
	if c.r.Props.FlowServers == 0 || !isBehind() || !c.isCatchingUp.CompareAndSwap(false, true) {
		return
	}
	c.r.Go(func() {
		defer c.isCatchingUp.Store(false)
		if c.r.Pause(catchUpPause) && isBehind() {
			c.poll(address)
		}
	})
}

// pulsePause is short until the first word has come.
func (c *Client) pulsePause() time.Duration {
	if c.Ages().Epoch == 0 {
		return min(c.r.Props.FlowPulse, 150*time.Millisecond)
	}
	return c.r.Props.FlowPulse
}

// heard notes word from a control node.
func (c *Client) heard() {
	now := c.r.Now()
	c.word.Store(&now)
}

// renew takes over what a pulse brought. Ages that name an epoch newer than the
// one in use can't vouch for it, but those held before still do until they are
// too old; so both are kept.
func (c *Client) renew(sent time.Time, receipt *wire.PulseReceipt) {
	c.heard()
	held := c.ages.Load()
	if receipt.Epoch < held.Newest.Epoch || len(receipt.Parts) != mark.Parts {
		return
	}
	next := Ages{Epoch: receipt.Epoch, Config: sent.Add(-time.Duration(receipt.Age) * time.Microsecond)}
	for i, age := range receipt.Parts {
		if age >= 0 {
			next.Parts[i] = sent.Add(-time.Duration(age) * time.Microsecond)
		}
	}
	both := &Vouched{Newest: next, Before: held.Before}
	if receipt.Epoch == held.Newest.Epoch {
		both.Newest.raise(&held.Newest)
	} else if chart := c.Cache.Chart(); chart != nil && chart.Epoch >= held.Newest.Epoch {
		both.Before = held.Newest
	}
	c.ages.Store(both)
}

// raise keeps the later of two words about one epoch.
func (a *Ages) raise(o *Ages) {
	if a.Config.Before(o.Config) {
		a.Config = o.Config
	}
	for i := range a.Parts {
		if a.Parts[i].Before(o.Parts[i]) {
			a.Parts[i] = o.Parts[i]
		}
	}
}

// IsFresh tells whether a chart may be acted on for a service now. Ages that
// name an older epoch vouch for a newer chart too: what was known then is in it.
// Word from before this process was started vouches for nothing: an earlier life
// of this proxy may have used an epoch that a deposed owner does not know.
func (c *Client) IsFresh(chart *Chart, service string) bool {
	if chart == nil {
		return false
	}
	if stay := c.r.Props.FlowStay; stay > 0 {
		word := c.word.Load()
		if word == nil || c.r.Since(*word) >= stay {
			return false
		}
		behind := c.r.Props.FlowBehind
		return behind == 0 || c.isNewest(chart, behind)
	}
	held := c.ages.Load()
	no, bound := mark.PartOf(service), c.r.Props.FlowFresh
	for _, a := range []*Ages{&held.Newest, &held.Before} {
		if a.Epoch <= chart.Epoch && c.r.Since(a.Config) < bound && a.Config.After(c.born) && (service == "" || c.r.Since(a.Parts[no]) < bound) {
			return true
		}
	}
	return false
}

// isNewest tells whether the chart was known to be the newest within that time.
func (c *Client) isNewest(chart *Chart, bound time.Duration) bool {
	held := c.ages.Load()
	for _, a := range []*Ages{&held.Newest, &held.Before} {
		if a.Epoch > 0 && a.Epoch <= chart.Epoch && c.r.Since(a.Config) < bound {
			return true
		}
	}
	return false
}

// Ages is what the shell shows.
func (c *Client) Ages() Ages { return c.ages.Load().Newest }

// tell writes an event when freshness of the configuration is lost or back.
func (c *Client) tell() {
	chart, ages := c.Cache.Chart(), c.Ages()
	isFresh := chart != nil && chart.Epoch >= ages.Epoch && c.r.Since(ages.Config) < max(c.r.Props.FlowFresh, 3*c.r.Props.FlowPulse)
	if isFresh != c.isFresh {
		c.isFresh = isFresh
		if isFresh {
			c.r.Sign.Say(sign.FreshAgain, "epoch", uint64(ages.Epoch))
		} else {
			c.r.Sign.Say(sign.FreshLost, "epoch", uint64(ages.Epoch))
		}
	}
}
