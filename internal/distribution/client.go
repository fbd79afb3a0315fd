package distribution

import (
	"sync"
	"sync/atomic"

	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/membership"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// Client keeps a proxy's configuration up to date. Its sources are the control nodes that
// hold a replica of the configuration shard.
type Client struct {
	Cache *Cache

	env       *environment.Environment
	transport *rpc.Transport
	members   *membership.Memberlist

	started   atomic.Bool
	freshness *freshness
	renewal   renewalState

	// fetchLock is held by a listener while it fetches, so that a change reported by several
	// control nodes at once is fetched only once.
	fetchLock environment.ChanMutex

	// mu guards listeners, which maps a control node's name to the address polled.
	mu        sync.Mutex
	listeners map[ids.NodeName]string
}

// NewClient returns a client with an empty cache. It sends no requests before Start.
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

// Start starts the initial fetch, the listeners and the freshness renewal. Later calls have
// no effect (the compare-and-set in HttpSyncDataService#start of the paper).
func (c *Client) Start() {
	if !c.started.CompareAndSwap(false, true) {
		return
	}
	c.env.Go(func() {
		if c.fetchInitial() {
			c.manageListeners()
		}
	})
	c.env.Go(c.runRenewal)
}

// IsFresh reports whether a snapshot is fresh enough to serve requests for a service. An empty
// service checks only the configuration. See freshness.isFresh for the rules.
func (c *Client) IsFresh(snapshot *Snapshot, service string) bool {
	return c.freshness.isFresh(snapshot, service)
}

// LatestConfirmation returns the confirmation of the greatest epoch that a control node has
// reported. That epoch may be greater than the active one.
func (c *Client) LatestConfirmation() Confirmation { return c.freshness.latest() }
