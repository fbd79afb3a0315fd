package controlplane

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// Target lists are long and usually change by a few targets, so a proxy that has an earlier
// version of a list is sent only the difference. It checks the result against the digest.

// Delta returns a target list as its difference from the version with the given digest.
// Applying the difference to that version is verified to give exactly this list. ok is false
// if the group must be sent in full: it is not a target list, none of the previous epochs has
// that version, the difference is not shorter, or one of the lists cannot be decoded, which
// is reported as damage.
func (c *ConfigState) Delta(name, baseDigest string, group rpc.Group) (delta rpc.Group, ok bool) {
	if baseDigest == "" || !strings.HasPrefix(name, TargetsPrefix) {
		return rpc.Group{}, false
	}
	base, isKept := c.previousGroup(name, baseDigest)
	if !isKept {
		return rpc.Group{}, false
	}
	before, err := decodeTargets(name, base)
	if err != nil {
		c.reportDamage(err)
		return rpc.Group{}, false
	}
	after, err := decodeTargets(name, group)
	if err != nil {
		c.reportDamage(err)
		return rpc.Group{}, false
	}
	put, removed := diffTargets(before, after)
	if len(put) >= len(after) || Digest(patchTargets(before, put, removed)) != group.Digest {
		return rpc.Group{}, false
	}
	return rpc.Group{Digest: group.Digest, Index: group.Index, BaseDigest: baseDigest, PutTargets: put, RemovedTargets: removed}, true
}

// PatchTargets applies a difference to an encoded target list and returns the encoded result.
func PatchTargets(from json.RawMessage, put []rpc.Target, removed []string) (json.RawMessage, error) {
	var before []rpc.Target
	if err := json.Unmarshal(from, &before); err != nil {
		return nil, err
	}
	return patchTargets(before, put, removed), nil
}

// decodeTargets decodes a target list. The error is a *DamagedGroupError.
func decodeTargets(name string, group rpc.Group) (targets []rpc.Target, err error) {
	if err := json.Unmarshal(group.Data, &targets); err != nil {
		return nil, &DamagedGroupError{Epoch: ids.Epoch(group.Index), Group: name, Digest: group.Digest, Err: err}
	}
	return targets, nil
}

// diffTargets returns the targets in after that are new or changed, and, sorted, the instances
// that are only in before.
func diffTargets(before, after []rpc.Target) (put []rpc.Target, removed []string) {
	remaining := make(map[string]rpc.Target, len(before))
	for _, target := range before {
		remaining[target.Instance] = target
	}
	for _, target := range after {
		if previous, existed := remaining[target.Instance]; !existed || previous != target {
			put = append(put, target)
		}
		delete(remaining, target.Instance)
	}
	for instance := range remaining {
		removed = append(removed, instance)
	}
	slices.Sort(removed)
	return put, removed
}

// patchTargets applies a difference to a list, and encodes the result sorted by instance.
func patchTargets(before, put []rpc.Target, removed []string) json.RawMessage {
	superseded := make(map[string]bool, len(removed)+len(put))
	for _, instance := range removed {
		superseded[instance] = true
	}
	for _, target := range put {
		superseded[target.Instance] = true
	}
	after := []rpc.Target{}
	for _, target := range before {
		if !superseded[target.Instance] {
			after = append(after, target)
		}
	}
	after = append(after, put...)
	slices.SortStableFunc(after, func(a, b rpc.Target) int { return strings.Compare(a.Instance, b.Instance) })
	return mustMarshal(after)
}
