// The proxy's tasks: one full fetch at start, trying the control nodes in list
// order; then one listening task for each control node; and beside them the
// pulses (fresh.go). The pauses of the source are shortened and spread, for here
// two seconds are the bound.
package distribution

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/eventlog"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/membership"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// Ages is as of when an epoch, and each part in it, was known to be in force.
type Ages struct {
	Epoch   ids.Epoch
	Binding ids.Epoch // the last that bore a change set or took a target away
	Config  time.Time
	Parts   [ids.ShardCount]time.Time
}

// Vouched is the newest ages, and the last that vouch for the epoch before.
type Vouched struct{ Newest, Before Ages }

const (
	nearPause  = 40 * time.Millisecond
	fetchTurn  = 500 * time.Millisecond
	firstPause = 60 * time.Millisecond // between tries of the first fetch: without it nothing is served
)

// Client is one proxy's.
type Client struct {
	r     *environment.Environment
	w     *rpc.Wire
	k     *membership.Memberlist
	Cache *Cache
	ages  atomic.Pointer[Vouched]
	word  atomic.Pointer[time.Time] // when anything last came from a control node
	born  time.Time
	began atomic.Bool

	pick       atomic.Uint64 // whom the pulse asks
	picked     atomic.Pointer[time.Time]
	pulses     atomic.Int32 // how many are under way
	isAnswered atomic.Bool  // whether the last pulse was
	catching   sync.Map     // addresses at which a catch-up is under way

	mu        sync.Mutex
	listening map[ids.NodeName]string
	fetching  environment.ChanMutex
	isFresh   bool
}

func NewClient(r *environment.Environment, w *rpc.Wire, k *membership.Memberlist) *Client {
	c := &Client{r: r, w: w, k: k, born: r.Now(), Cache: NewCache(r.Events), listening: map[ids.NodeName]string{}, fetching: environment.NewChanMutex()}
	c.ages.Store(&Vouched{})
	return c
}

// keepListening has one task for each control node there is.
func (c *Client) keepListening() {
	for {
		for _, m := range c.servers() {
			c.mu.Lock()
			isNew := c.listening[m.Name] != m.RPCAddress
			if isNew {
				c.listening[m.Name] = m.RPCAddress
			}
			c.mu.Unlock()
			if isNew {
				c.r.Go(func() { c.listen(m.Name, m.RPCAddress) })
			}
		}
		if !c.r.Sleep(500 * time.Millisecond) {
			return
		}
	}
}

// servers is the control nodes listened to: all, or the nearest few, of which one
// at least stands in another zone if there is one.
func (c *Client) servers() []rpc.Member {
	cores, most := c.k.ConfigReplicas(), c.r.Config.FlowServers
	if most == 0 || len(cores) <= most {
		return cores
	}
	some := cores[:most:most]
	if most > 1 && some[most-1].Zone == c.r.Config.Zone {
		for _, m := range cores[most:] {
			if m.Zone != c.r.Config.Zone {
				some[most-1] = m
				break
			}
		}
	}
	return some
}

// listen is the task for one control node; it ends when the node is no longer one
// to listen to.
func (c *Client) listen(name ids.NodeName, address string) {
	defer func() {
		c.mu.Lock()
		if c.listening[name] == address {
			delete(c.listening, name)
		}
		c.mu.Unlock()
	}()
	tries := 0
	for !c.r.IsStopping() {
		if !slices.ContainsFunc(c.servers(), func(m rpc.Member) bool { return m.Name == name && m.RPCAddress == address }) {
			return
		}
		isNewer, err := c.poll(c.r, address)
		pause := time.Duration(0)
		switch {
		case err != nil:
			tries++
			c.r.Events.Say(eventlog.ListenFailed, "node", string(name), "tries", tries, "cause", err.Error())
			pause = c.r.Config.FlowRetry
			if tries >= c.r.Config.FlowTries {
				tries, pause = 0, c.r.Config.FlowCool
			}
		case !isNewer:
			tries, pause = 0, c.r.Config.FlowPause
		default:
			tries = 0
		}
		if pause > 0 && !c.r.Sleep(environment.Jitter(pause)) {
			return
		}
	}
}

// poll is one held listener request and, if it names groups, their fetch.
func (c *Client) poll(life context.Context, address string) (isNewer bool, err error) {
	epoch, have := c.Cache.Have()
	ctx, end := context.WithTimeout(life, c.r.Config.FlowHold+2*time.Second)
	defer end()
	var receipt rpc.ListenResponse
	ask := &rpc.ListenRequest{Epoch: epoch, Versions: have}
	if chart := c.Cache.Chart(); chart != nil && chart.Epoch == epoch {
		ask.CombinedDigest, ask.Versions = chart.sum, nil
		near := c.servers()
		ask.AcceptsDeltas = c.r.Config.FlowServers > 0 && len(near) > 0 && near[0].RPCAddress == address
	}
	if err := c.w.Ask(ctx, address, "flow.listen", ask, &receipt); err != nil {
		return false, err
	}
	if receipt.UnknownDigest {
		// Where the epoch is not known any more, or not yet, each group is named.
		receipt = rpc.ListenResponse{}
		if err := c.w.Ask(ctx, address, "flow.listen", &rpc.ListenRequest{Epoch: epoch, Versions: have}, &receipt); err != nil {
			return false, err
		}
	}
	if receipt.Epoch <= epoch {
		return true, nil
	}
	made := time.Now().Add(-time.Duration(receipt.Age) * time.Millisecond)
	isNewer = len(receipt.Deltas) > 0 && c.Cache.Stage(receipt.Deltas)
	manifest := c.Cache.Delta(have, &receipt)
	if len(c.Cache.Missing(manifest)) == 0 {
		ok, err := c.swap(receipt.Epoch, manifest, made)
		return ok || isNewer, err
	}
	c.leaveToNear(address)
	// Groups are fetched once, but nobody waits long for another's fetch: its control
	// node may have gone.
	if c.fetching.TryLockFor(fetchTurn) {
		defer c.fetching.Unlock()
	}
	if now, _ := c.Cache.Have(); receipt.Epoch <= now {
		return true, nil
	}
	if missing := c.Cache.Missing(manifest); len(missing) > 0 {
		limited, stop := context.WithTimeout(c.r, 3*time.Second)
		defer stop()
		fetched, err := c.fetch(limited, address, &rpc.FetchRequest{Groups: missing, HeldDigests: c.Cache.Holds(missing)})
		if err != nil {
			return false, err
		}
		isNewer = c.Cache.Stage(fetched.Groups) || isNewer
		left := c.Cache.Missing(manifest)
		left = slices.DeleteFunc(left, func(name string) bool { return fetched.Groups[name].BaseDigest == "" })
		if len(left) > 0 {
			// A difference that did not fit is fetched whole.
			if fetched, err = c.fetch(limited, address, &rpc.FetchRequest{Groups: left}); err != nil {
				return false, err
			}
			isNewer = c.Cache.Stage(fetched.Groups) || isNewer
		}
	}
	ok, err := c.swap(receipt.Epoch, manifest, made)
	return ok || isNewer, err
}

// leaveToNear gives the listener of a control node in the own zone a moment to
// fetch first, if there is one, so that groups seldom come from another zone.
func (c *Client) leaveToNear(address string) {
	if cores := c.k.ConfigReplicas(); !c.k.InOwnZone(address) && len(cores) > 0 && c.k.InOwnZone(cores[0].RPCAddress) {
		c.r.Sleep(nearPause)
	}
}
