package distribution

import (
	"strings"

	"github.com/sumactrestle/sumactrestle/internal/controlplane"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

const (
	// maxCachedDeltas limits the deltas cached for reuse.
	maxCachedDeltas = 256
	// maxInlineSize is the total size in bytes up to which a ListenResponse carries the
	// changed groups.
	maxInlineSize = 4096
	// The estimated sizes of an encoded target and of an encoded instance name, in bytes of JSON.
	targetSizeEstimate   = 120
	instanceSizeEstimate = 24
)

// sizeEstimate returns the approximate size of an encoded group in bytes.
func sizeEstimate(group *rpc.Group) int {
	return len(group.Data) + targetSizeEstimate*len(group.PutTargets) + instanceSizeEstimate*len(group.RemovedTargets)
}

// deltaEncoder computes deltas between versions of target lists. Lists are long and change by
// a few targets at a time, and many proxies request the same delta, so deltas are cached.
type deltaEncoder struct {
	state *controlplane.ConfigState
	cache *boundedCache[rpc.Group]
}

func newDeltaEncoder(state *controlplane.ConfigState) *deltaEncoder {
	return &deltaEncoder{state: state, cache: newBoundedCache[rpc.Group](maxCachedDeltas)}
}

// encode returns a target list as a delta from the version with baseDigest, if the control
// plane still has that version and the delta is shorter. In all other cases, and for groups
// that are not target lists, it returns the group unchanged.
func (e *deltaEncoder) encode(name, baseDigest string, group rpc.Group) rpc.Group {
	if baseDigest == "" || !strings.HasPrefix(name, controlplane.TargetsPrefix) {
		return group
	}
	key := name + " " + baseDigest + " " + group.Digest
	if cached, ok := e.cache.get(key); ok {
		// The key has no index: a list that alternates between two contents repeats the same
		// delta under a later index.
		cached.Index = group.Index
		return cached
	}
	if delta, ok := e.state.Delta(name, baseDigest, group); ok {
		group = delta
	}
	e.cache.put(key, group)
	return group
}

// inline returns the changed groups, as deltas where possible, for inclusion in a
// ListenResponse. It returns nil if a group is not in the epoch or their estimated total size
// exceeds maxInlineSize.
func (e *deltaEncoder) inline(epoch *controlplane.EpochState, clientManifest, changed map[string]rpc.GroupVersion) map[string]rpc.Group {
	groups := map[string]rpc.Group{}
	size := 0
	for name := range changed {
		group, ok := epoch.PublishedGroup(name)
		if !ok {
			return nil
		}
		group = e.encode(name, clientManifest[name].Digest, group)
		if size += sizeEstimate(&group); size > maxInlineSize {
			return nil
		}
		groups[name] = group
	}
	return groups
}
