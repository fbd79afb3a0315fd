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

// Confirmation is as of when an epoch, and each part in it, was known to be in force.
type Confirmation struct {
	Epoch        ids.Epoch
	BindingEpoch ids.Epoch // the last that bore a change set or took a target away
	ConfigAsOf   time.Time
	ShardsAsOf   [ids.ShardCount]time.Time
}

// confirmations is the newest ages, and the last that vouch for the epoch before.
type confirmations struct{ latest, previous Confirmation }

const (
	nearestHeadStart = 40 * time.Millisecond
	fetchLockTimeout = 500 * time.Millisecond
	firstFetchRetry  = 60 * time.Millisecond // between tries of the first fetch: without it nothing is served
)

// Client is one proxy's.
type Client struct {
	env           *environment.Environment
	transport     *rpc.Transport
	members       *membership.Memberlist
	Cache         *Cache
	confirmations atomic.Pointer[confirmations]
	lastContact   atomic.Pointer[time.Time] // when anything last came from a control node
	startedAt     time.Time
	started       atomic.Bool

	pulseChoice    atomic.Uint64 // whom the pulse asks
	chosenAt       atomic.Pointer[time.Time]
	pulsesInFlight atomic.Int32 // how many are under way
	pulseAnswered  atomic.Bool  // whether the last pulse was
	catchUps       sync.Map     // addresses at which a catch-up is under way

	mu        sync.Mutex
	listeners map[ids.NodeName]string
	fetchLock environment.ChanMutex
	wasFresh  bool
}

func NewClient(r *environment.Environment, w *rpc.Transport, k *membership.Memberlist) *Client {
	c := &Client{env: r, transport: w, members: k, startedAt: r.Now(), Cache: NewCache(r.Events), listeners: map[ids.NodeName]string{}, fetchLock: environment.NewChanMutex()}
	c.confirmations.Store(&confirmations{})
	return c
}

// manageListeners has one task for each control node there is.
func (c *Client) manageListeners() {
	for {
		for _, source := range c.sources() {
			c.mu.Lock()
			isNew := c.listeners[source.Name] != source.RPCAddress
			if isNew {
				c.listeners[source.Name] = source.RPCAddress
			}
			c.mu.Unlock()
			if isNew {
				c.env.Go(func() { c.runListener(source.Name, source.RPCAddress) })
			}
		}
		if !c.env.Sleep(500 * time.Millisecond) {
			return
		}
	}
}

// sources is the control nodes listened to: all, or the nearest few, of which one
// at least stands in another zone if there is one.
func (c *Client) sources() []rpc.Member {
	sources, most := c.members.ConfigReplicas(), c.env.Config.FlowServers
	if most == 0 || len(sources) <= most {
		return sources
	}
	some := sources[:most:most]
	if most > 1 && some[most-1].Zone == c.env.Config.Zone {
		for _, source := range sources[most:] {
			if source.Zone != c.env.Config.Zone {
				some[most-1] = source
				break
			}
		}
	}
	return some
}

// runListener is the task for one control node; it ends when the node is no longer one
// to listen to.
func (c *Client) runListener(name ids.NodeName, address string) {
	defer func() {
		c.mu.Lock()
		if c.listeners[name] == address {
			delete(c.listeners, name)
		}
		c.mu.Unlock()
	}()
	failures := 0
	for !c.env.IsStopping() {
		if !slices.ContainsFunc(c.sources(), func(source rpc.Member) bool { return source.Name == name && source.RPCAddress == address }) {
			return
		}
		isNewer, err := c.poll(c.env, address)
		pause := time.Duration(0)
		switch {
		case err != nil:
			failures++
			c.env.Events.Say(eventlog.ListenFailed, "node", string(name), "tries", failures, "cause", err.Error())
			pause = c.env.Config.FlowRetry
			if failures >= c.env.Config.FlowTries {
				failures, pause = 0, c.env.Config.FlowCool
			}
		case !isNewer:
			failures, pause = 0, c.env.Config.FlowPause
		default:
			failures = 0
		}
		if pause > 0 && !c.env.Sleep(environment.Jitter(pause)) {
			return
		}
	}
}

// poll is one held listener request and, if it names groups, their fetch.
func (c *Client) poll(life context.Context, address string) (isNewer bool, err error) {
	epoch, have := c.Cache.Current()
	ctx, end := context.WithTimeout(life, c.env.Config.FlowHold+2*time.Second)
	defer end()
	var response rpc.ListenResponse
	request := &rpc.ListenRequest{Epoch: epoch, Versions: have}
	if snapshot := c.Cache.Snapshot(); snapshot != nil && snapshot.Epoch == epoch {
		request.CombinedDigest, request.Versions = snapshot.manifestDigest, nil
		near := c.sources()
		request.AcceptsDeltas = c.env.Config.FlowServers > 0 && len(near) > 0 && near[0].RPCAddress == address
	}
	if err := c.transport.Call(ctx, address, "flow.listen", request, &response); err != nil {
		return false, err
	}
	if response.UnknownDigest {
		// Where the epoch is not known any more, or not yet, each group is named.
		response = rpc.ListenResponse{}
		if err := c.transport.Call(ctx, address, "flow.listen", &rpc.ListenRequest{Epoch: epoch, Versions: have}, &response); err != nil {
			return false, err
		}
	}
	if response.Epoch <= epoch {
		return true, nil
	}
	made := time.Now().Add(-time.Duration(response.Age) * time.Millisecond)
	isNewer = len(response.Deltas) > 0 && c.Cache.Stage(response.Deltas)
	manifest := c.Cache.Delta(have, &response)
	if len(c.Cache.Missing(manifest)) == 0 {
		ok, err := c.activate(response.Epoch, manifest, made)
		return ok || isNewer, err
	}
	c.yieldToNearest(address)
	// Groups are fetched once, but nobody waits long for another's fetch: its control
	// node may have gone.
	if c.fetchLock.TryLockFor(fetchLockTimeout) {
		defer c.fetchLock.Unlock()
	}
	if now, _ := c.Cache.Current(); response.Epoch <= now {
		return true, nil
	}
	if missing := c.Cache.Missing(manifest); len(missing) > 0 {
		limited, stop := context.WithTimeout(c.env, 3*time.Second)
		defer stop()
		fetched, err := c.fetch(limited, address, &rpc.FetchRequest{Groups: missing, HeldDigests: c.Cache.Digests(missing)})
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
	ok, err := c.activate(response.Epoch, manifest, made)
	return ok || isNewer, err
}

// yieldToNearest gives the listener of a control node in the own zone a moment to
// fetch first, if there is one, so that groups seldom come from another zone.
func (c *Client) yieldToNearest(address string) {
	if sources := c.members.ConfigReplicas(); !c.members.InOwnZone(address) && len(sources) > 0 && c.members.InOwnZone(sources[0].RPCAddress) {
		c.env.Sleep(nearestHeadStart)
	}
}
