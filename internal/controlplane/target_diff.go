package controlplane

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// Target lists are long and change by a few targets at a time, so a proxy that holds an
// earlier list is sent the difference. It checks the result against the digest of the list.

// DiffTargets is the difference between two encoded target lists: the targets that are new
// or changed, and the instances that are removed. It is not ok if it is no shorter than the
// list itself, or if either list cannot be decoded; the list is to be sent in full then.
func DiffTargets(from, to json.RawMessage) (put []rpc.Target, removed []string, ok bool) {
	var before, after []rpc.Target
	if json.Unmarshal(from, &before) != nil || json.Unmarshal(to, &after) != nil {
		return nil, nil, false
	}
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
	return put, removed, len(put) < len(after)
}

// PatchTargets applies a difference to an encoded target list.
func PatchTargets(from json.RawMessage, put []rpc.Target, removed []string) (json.RawMessage, error) {
	var before []rpc.Target
	if err := json.Unmarshal(from, &before); err != nil {
		return nil, err
	}
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
	return json.Marshal(after)
}
