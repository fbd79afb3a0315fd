package distribution

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/eventlog"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

const (
	// listenerCheckInterval is the interval between checks for new control nodes.
	listenerCheckInterval = 500 * time.Millisecond
	// listenGrace is added to distribution.long_poll_timeout to get the timeout of a poll.
	listenGrace = 2 * time.Second
	// yieldDelay is how long a listener to another zone waits before it fetches; see
	// yieldToNearest.
	yieldDelay = 40 * time.Millisecond
	// fetchLockTimeout is how long a listener waits for another listener's fetch.
	fetchLockTimeout = 500 * time.Millisecond
	// changedFetchTimeout limits the fetch of the changed groups.
	changedFetchTimeout = 3 * time.Second
)

// manageListeners keeps one listener running for each source until the node stops.
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
		if !c.env.Sleep(listenerCheckInterval) {
			return
		}
	}
}

// sources returns the control nodes to listen to, nearest first.
func (c *Client) sources() []rpc.Member {
	return nearestSources(c.members.ConfigReplicas(), c.env.Config.DistributionMaxServers, c.env.Config.Zone)
}

// nearestSources returns the first limit of the sources, which are ordered nearest first, or
// all of them if limit is 0. If limit is at least 2 and all selected sources are in the given
// zone, the nearest source of another zone replaces the last one, in case the whole zone is
// partitioned from the others.
func nearestSources(sources []rpc.Member, limit int, zone string) []rpc.Member {
	if limit == 0 || len(sources) <= limit {
		return sources
	}
	nearest := sources[:limit:limit]
	if limit == 1 || nearest[limit-1].Zone != zone {
		return nearest
	}
	for _, source := range sources[limit:] {
		if source.Zone != zone {
			return append(slices.Clone(nearest[:limit-1]), source)
		}
	}
	return nearest
}

// runListener polls one control node (HttpLongPollingTask#run in the paper) until that node is
// no longer a source. It pauses for distribution.retry_delay after a failure, for
// distribution.retry_cooldown after distribution.retry_attempts consecutive failures, and for
// distribution.unchanged_delay if poll reports no change.
func (c *Client) runListener(name ids.NodeName, address string) {
	defer c.removeListener(name, address)
	isSource := func(source rpc.Member) bool { return source.Name == name && source.RPCAddress == address }
	failures := 0
	for !c.env.IsStopping() && slices.ContainsFunc(c.sources(), isSource) {
		changed, err := c.poll(c.env, address)
		pause := time.Duration(0)
		switch {
		case err != nil:
			failures++
			c.env.Events.Emit(eventlog.LongPollFailed, "node", string(name), "failures", failures, "cause", err.Error())
			pause = c.env.Config.DistributionRetryDelay
			if failures >= c.env.Config.DistributionRetryAttempts {
				failures, pause = 0, c.env.Config.DistributionRetryCooldown
			}
		case !changed:
			failures, pause = 0, c.env.Config.DistributionUnchangedDelay
		default:
			failures = 0
		}
		if pause > 0 && !c.env.Sleep(environment.Jitter(pause)) {
			return
		}
	}
}

func (c *Client) removeListener(name ids.NodeName, address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.listeners[name] == address {
		delete(c.listeners, name)
	}
}

// poll sends one long-poll request (doLongPolling in the paper). If the response reports a newer
// epoch, poll fetches the changed groups and activates that epoch. It reports false if
// the fetch yielded no newer group and the epoch was not activated; the caller should then
// pause. A poll that ends without a newer epoch reports true.
func (c *Client) poll(ctx context.Context, address string) (changed bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.env.Config.DistributionLongPollTimeout+listenGrace)
	defer cancel()
	snapshot := c.Cache.Snapshot()
	if snapshot == nil {
		snapshot = &Snapshot{}
	}
	response, err := c.listen(ctx, address, snapshot)
	if err != nil {
		return false, err
	}
	if response.Epoch <= snapshot.Epoch {
		return true, nil
	}
	appliedAt := time.Now().Add(-time.Duration(response.Age) * time.Millisecond)
	changed = len(response.Deltas) > 0 && c.Cache.Stage(response.Deltas)
	manifest := applyChanges(snapshot.Manifest, response)
	if len(c.Cache.Missing(manifest)) > 0 {
		c.yieldToNearest(address)
		// Fetch without the lock after the timeout: the control node that the other listener
		// fetches from may be down.
		if c.fetchLock.TryLockFor(fetchLockTimeout) {
			defer c.fetchLock.Unlock()
		}
		if response.Epoch <= c.Cache.Epoch() {
			return true, nil
		}
		staged, err := c.fetchChanged(address, manifest)
		if err != nil {
			return false, err
		}
		changed = changed || staged
	}
	activated, err := c.Cache.Activate(response.Epoch, manifest)
	if activated && err == nil {
		c.env.Latencies.EpochAge.Observe(time.Since(appliedAt))
	}
	return activated || changed, err
}

// listen sends the long-poll request. It identifies the snapshot by epoch and combined digest.
// If the control node does not know that epoch, it sends a second request with the version of
// each group.
func (c *Client) listen(ctx context.Context, address string, snapshot *Snapshot) (*rpc.ListenResponse, error) {
	if snapshot.Epoch > 0 {
		response := &rpc.ListenResponse{}
		sources := c.sources()
		err := c.transport.Call(ctx, address, kindListen, &rpc.ListenRequest{
			Epoch:          snapshot.Epoch,
			CombinedDigest: snapshot.manifestDigest,
			AcceptsDeltas:  c.env.Config.DistributionMaxServers > 0 && len(sources) > 0 && sources[0].RPCAddress == address,
		}, response)
		if err != nil || !response.UnknownDigest {
			return response, err
		}
	}
	response := &rpc.ListenResponse{}
	err := c.transport.Call(ctx, address, kindListen, &rpc.ListenRequest{Epoch: snapshot.Epoch, Versions: snapshot.Manifest}, response)
	return response, err
}

// applyChanges returns the manifest that results from applying a ListenResponse to the previous
// manifest, which it does not modify.
func applyChanges(previous map[string]rpc.GroupVersion, response *rpc.ListenResponse) map[string]rpc.GroupVersion {
	manifest := maps.Clone(previous)
	if manifest == nil {
		manifest = map[string]rpc.GroupVersion{}
	}
	for _, name := range response.Removed {
		delete(manifest, name)
	}
	maps.Copy(manifest, response.Changed)
	return manifest
}

// yieldToNearest delays a listener to another zone if the nearest control node is in this
// proxy's zone, so that the listener to that node usually fetches first and groups are rarely
// transferred between zones.
func (c *Client) yieldToNearest(address string) {
	if sources := c.members.ConfigReplicas(); !c.members.InOwnZone(address) && len(sources) > 0 && c.members.InOwnZone(sources[0].RPCAddress) {
		c.env.Sleep(yieldDelay)
	}
}

// fetchChanged fetches the manifest's missing groups (doFetchGroupConfig in the paper) and
// reports whether it staged any. If a delta cannot be applied to the cached group, the group
// is fetched again in full.
func (c *Client) fetchChanged(address string, manifest map[string]rpc.GroupVersion) (staged bool, err error) {
	missing := c.Cache.Missing(manifest)
	if len(missing) == 0 {
		return false, nil
	}
	ctx, cancel := context.WithTimeout(c.env, changedFetchTimeout)
	defer cancel()
	response, err := c.fetch(ctx, address, &rpc.FetchRequest{Groups: missing, HeldDigests: c.Cache.HeldDigests(missing)})
	if err != nil {
		return false, err
	}
	staged = c.Cache.Stage(response.Groups)
	failedDeltas := slices.DeleteFunc(c.Cache.Missing(manifest), func(name string) bool { return response.Groups[name].BaseDigest == "" })
	if len(failedDeltas) == 0 {
		return staged, nil
	}
	if response, err = c.fetch(ctx, address, &rpc.FetchRequest{Groups: failedDeltas}); err != nil {
		return false, err
	}
	return c.Cache.Stage(response.Groups) || staged, nil
}
