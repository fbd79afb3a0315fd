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
	// listenerCheckInterval is how often it is checked whether control nodes came.
	listenerCheckInterval = 500 * time.Millisecond
	// listenGrace is what a listener waits for an answer beyond the hold time.
	listenGrace = 2 * time.Second
	// nearestHeadStart is what a control node of the own zone is left to be fetched from.
	nearestHeadStart = 40 * time.Millisecond
	// fetchLockTimeout is how long a listener waits while another fetches.
	fetchLockTimeout = 500 * time.Millisecond
	// changedFetchTimeout bounds the fetch of the groups that changed.
	changedFetchTimeout = 3 * time.Second
)

// manageListeners has one listener run for each control node there is to listen to.
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

// sources returns the control nodes to listen to, the nearest first.
func (c *Client) sources() []rpc.Member {
	return nearestSources(c.members.ConfigReplicas(), c.env.Config.DistributionMaxServers, c.env.Config.Zone)
}

// nearestSources returns the first few of the control nodes, which are in order of their
// distance, or all if limit is 0. If these few are all in the given zone and another is not,
// the nearest such takes the place of the last: the zone may be cut off as a whole.
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

// runListener listens to one control node (the paper's HttpLongPollingTask#run) until that is
// no longer one to listen to. After a failure it pauses for distribution.retry_delay; after
// distribution.retry_attempts failures in a row for distribution.retry_cooldown; after a poll
// that brought nothing for distribution.unchanged_delay.
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

// poll makes one held listener request (the paper's doLongPolling) and, if it names groups
// that changed, fetches these and brings the epoch into use. It reports false if the fetch
// brought nothing newer, upon which its caller should pause.
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
	createdAt := time.Now().Add(-time.Duration(response.Age) * time.Millisecond)
	changed = len(response.Deltas) > 0 && c.Cache.Stage(response.Deltas)
	manifest := applyChanges(snapshot.Manifest, response)
	if len(c.Cache.Missing(manifest)) > 0 {
		c.yieldToNearest(address)
		// Nobody waits long for another's fetch: its control node may be gone.
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
		c.env.Latencies.EpochAge.Observe(time.Since(createdAt))
	}
	return activated || changed, err
}

// listen sends the listener request. It names what is held by the epoch and one digest over
// all groups; only where the control node does not know that epoch, each group is named.
func (c *Client) listen(ctx context.Context, address string, held *Snapshot) (*rpc.ListenResponse, error) {
	if held.Epoch > 0 {
		response := &rpc.ListenResponse{}
		sources := c.sources()
		err := c.transport.Call(ctx, address, kindListen, &rpc.ListenRequest{
			Epoch:          held.Epoch,
			CombinedDigest: held.manifestDigest,
			AcceptsDeltas:  c.env.Config.DistributionMaxServers > 0 && len(sources) > 0 && sources[0].RPCAddress == address,
		}, response)
		if err != nil || !response.UnknownDigest {
			return response, err
		}
	}
	response := &rpc.ListenResponse{}
	err := c.transport.Call(ctx, address, kindListen, &rpc.ListenRequest{Epoch: held.Epoch, Versions: held.Manifest}, response)
	return response, err
}

// applyChanges returns the manifest of the epoch that a listener was told of, made of the
// one that it held.
func applyChanges(held map[string]rpc.GroupVersion, response *rpc.ListenResponse) map[string]rpc.GroupVersion {
	manifest := maps.Clone(held)
	if manifest == nil {
		manifest = map[string]rpc.GroupVersion{}
	}
	for _, name := range response.Removed {
		delete(manifest, name)
	}
	maps.Copy(manifest, response.Changed)
	return manifest
}

// yieldToNearest gives the listener of a control node in the own zone, if there is one, a
// moment to fetch first, so that groups seldom come from another zone.
func (c *Client) yieldToNearest(address string) {
	if sources := c.members.ConfigReplicas(); !c.members.InOwnZone(address) && len(sources) > 0 && c.members.InOwnZone(sources[0].RPCAddress) {
		c.env.Sleep(nearestHeadStart)
	}
}

// fetchChanged fetches the groups of a manifest that are missing (the paper's
// doFetchGroupConfig), and reports whether any was newer than those held. A group whose
// difference did not fit what is held is fetched in full.
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
	misfits := slices.DeleteFunc(c.Cache.Missing(manifest), func(name string) bool { return response.Groups[name].BaseDigest == "" })
	if len(misfits) == 0 {
		return staged, nil
	}
	if response, err = c.fetch(ctx, address, &rpc.FetchRequest{Groups: misfits}); err != nil {
		return false, err
	}
	return c.Cache.Stage(response.Groups) || staged, nil
}
