package distribution

import (
	"strings"

	"github.com/sumactrestle/sumactrestle/internal/controlplane"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

const (
	// maxDeltasKept is how many differences are kept for the next proxy that asks.
	maxDeltasKept = 256
	// maxInlineSize is up to how many bytes of groups come along with the answer to a listener.
	maxInlineSize = 4096
	// The lengths in JSON, in bytes, at which a target and an instance's name are reckoned.
	targetSizeEstimate   = 120
	instanceSizeEstimate = 24
)

// sizeEstimate is about how many bytes of JSON a group is.
func sizeEstimate(group *rpc.Group) int {
	return len(group.Data) + targetSizeEstimate*len(group.PutTargets) + instanceSizeEstimate*len(group.RemovedTargets)
}

// deltaEncoder makes differences between versions of target lists. Lists are long and change
// by a few targets at a time, and many proxies ask for the same difference.
type deltaEncoder struct {
	state *controlplane.ConfigState
	kept  *boundedCache[rpc.Group]
}

func newDeltaEncoder(state *controlplane.ConfigState) *deltaEncoder {
	return &deltaEncoder{state: state, kept: newBoundedCache[rpc.Group](maxDeltasKept)}
}

// shorten returns a target list as the difference from the version with the held digest, if
// the control plane still knows that and the difference is shorter. Otherwise, and for all
// other groups, it returns the group as it is.
func (e *deltaEncoder) shorten(name, heldDigest string, group rpc.Group) rpc.Group {
	if heldDigest == "" || !strings.HasPrefix(name, controlplane.TargetsPrefix) {
		return group
	}
	key := name + " " + heldDigest + " " + group.Digest
	if kept, ok := e.kept.get(key); ok {
		// The same step may have been made before, when it bore another index.
		kept.Index = group.Index
		return kept
	}
	if delta, ok := e.state.Delta(name, heldDigest, group); ok {
		group = delta
	}
	e.kept.put(key, group)
	return group
}

// inline returns the changed groups, shortened, if all of them together are small enough to
// come along with the answer to a listener; otherwise nil.
func (e *deltaEncoder) inline(epoch *controlplane.EpochState, held, changed map[string]rpc.GroupVersion) map[string]rpc.Group {
	groups := map[string]rpc.Group{}
	size := 0
	for name := range changed {
		group, ok := epoch.PublishedGroup(name)
		if !ok {
			return nil
		}
		group = e.shorten(name, held[name].Digest, group)
		if size += sizeEstimate(&group); size > maxInlineSize {
			return nil
		}
		groups[name] = group
	}
	return groups
}
