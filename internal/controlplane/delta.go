// What differs between two target lists. Lists are long and change by a few targets
// at a time, so proxies that hold an earlier one get the difference; whoever takes
// it over holds the result against the digest of the whole.
package controlplane

import (
	"encoding/json"
	"sort"

	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// DiffTargets is what leads from one list to another; false if the whole is as short.
func DiffTargets(from, to json.RawMessage) (put []rpc.Target, gone []string, ok bool) {
	var old, now []rpc.Target
	if json.Unmarshal(from, &old) != nil || json.Unmarshal(to, &now) != nil {
		return nil, nil, false
	}
	before := make(map[string]rpc.Target, len(old))
	for _, t := range old {
		before[t.Instance] = t
	}
	for _, t := range now {
		if had, isOld := before[t.Instance]; !isOld || had != t {
			put = append(put, t)
		}
		delete(before, t.Instance)
	}
	for instance := range before {
		gone = append(gone, instance)
	}
	sort.Strings(gone)
	return put, gone, len(put) < len(now)
}

// PatchTargets lays a difference over a list.
func PatchTargets(from json.RawMessage, put []rpc.Target, gone []string) (json.RawMessage, error) {
	var old []rpc.Target
	if err := json.Unmarshal(from, &old); err != nil {
		return nil, err
	}
	out := make(map[string]bool, len(gone)+len(put))
	for _, instance := range gone {
		out[instance] = true
	}
	for _, t := range put {
		out[t.Instance] = true
	}
	next := []rpc.Target{}
	for _, t := range old {
		if !out[t.Instance] {
			next = append(next, t)
		}
	}
	next = append(next, put...)
	sort.Slice(next, func(i, j int) bool { return next[i].Instance < next[j].Instance })
	return json.Marshal(next)
}
