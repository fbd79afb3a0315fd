package distribution

import (
	"sync"
	"sync/atomic"

	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/membership"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// Client keeps a proxy's configuration. Its sources are the control nodes that hold a
// replica of the configuration shard.
type Client struct {
	Cache *Cache

	env       *environment.Environment
	transport *rpc.Transport
	members   *membership.Memberlist

	started   atomic.Bool
	freshness *freshness
	pulse     pulseState

	// fetchLock is held by the listener that fetches, so that what several control nodes
	// report at a time is fetched once.
	fetchLock environment.ChanMutex

	// mu guards listeners: the addresses that are listened to, by the node's name.
	mu        sync.Mutex
	listeners map[ids.NodeName]string
}

// NewClient returns a client with an empty cache. It does nothing until Start.
func NewClient(env *environment.Environment, transport *rpc.Transport, members *membership.Memberlist) *Client {
	cache := NewCache(env.Events)
	return &Client{
		Cache:     cache,
		env:       env,
		transport: transport,
		members:   members,
		freshness: newFreshness(env, cache),
		fetchLock: environment.NewChanMutex(),
		listeners: map[ids.NodeName]string{},
	}
}

// Start begins to fetch, to listen and to send pulses. Only the first call does anything
// (the paper's compare-and-set in HttpSyncDataService#start).
func (c *Client) Start() {
	if !c.started.CompareAndSwap(false, true) {
		return
	}
	c.env.Go(func() {
		if c.fetchInitial() {
			c.manageListeners()
		}
	})
	c.env.Go(c.runPulse)
}

// IsFresh reports whether a snapshot may be acted on now, for a service or, if that is
// empty, for what concerns none; see freshness.isFresh.
func (c *Client) IsFresh(snapshot *Snapshot, service string) bool {
	return c.freshness.isFresh(snapshot, service)
}

// LatestConfirmation returns what the pulses confirmed of the greatest epoch heard of.
func (c *Client) LatestConfirmation() Confirmation { return c.freshness.latest() }
