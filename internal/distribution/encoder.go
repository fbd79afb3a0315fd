package distribution

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"
	"sync"

	"github.com/sumactrestle/sumactrestle/internal/controlplane"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// groupEncoder marshals each group once for its digest and index, and the full answer once
// for its epoch, for all proxies that ask. The zero value is ready for use.
type groupEncoder struct {
	// mu guards all fields.
	mu       sync.Mutex
	groups   map[string]encodedGroup
	unpacked encodedEpoch
	packed   encodedEpoch
}

type encodedGroup struct {
	index   ids.Index
	digest  string
	encoded json.RawMessage
}

type encodedEpoch struct {
	epoch   *controlplane.EpochState
	encoded json.RawMessage
}

// epoch returns the response to a full fetch: the manifest and all groups of an epoch, packed
// or not.
func (e *groupEncoder) epoch(epoch *controlplane.EpochState, packed bool) (json.RawMessage, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	kept := &e.unpacked
	if packed {
		kept = &e.packed
	}
	if kept.epoch == epoch {
		return kept.encoded, nil
	}
	manifest := epoch.Manifest()
	groups := make(map[string]json.RawMessage, len(manifest))
	for name := range manifest {
		group, _ := epoch.PublishedGroup(name)
		encoded, err := e.groupLocked(name, group)
		if err != nil {
			return nil, err
		}
		groups[name] = encoded
	}
	maps.DeleteFunc(e.groups, func(name string, _ encodedGroup) bool { _, ok := manifest[name]; return !ok })
	object, err := joinGroups(groups)
	if err != nil {
		return nil, err
	}
	response := &rpc.FetchResponse{Epoch: epoch.Epoch, Manifest: manifest}
	var encoded json.RawMessage
	if packed && len(object) >= minCompressedSize {
		response.Packed = deflate(object)
		encoded, err = json.Marshal(response)
	} else {
		encoded, err = appendGroups(response, object)
	}
	if err != nil {
		return nil, err
	}
	*kept = encodedEpoch{epoch: epoch, encoded: encoded}
	return encoded, nil
}

// response returns the response to a fetch of single groups. Differences are not kept.
func (e *groupEncoder) response(response *rpc.FetchResponse) (json.RawMessage, error) {
	groups := make(map[string]json.RawMessage, len(response.Groups))
	for name, group := range response.Groups {
		var err error
		if group.BaseDigest == "" {
			groups[name], err = e.group(name, group)
		} else {
			groups[name], err = json.Marshal(&group)
		}
		if err != nil {
			return nil, err
		}
	}
	object, err := joinGroups(groups)
	if err != nil {
		return nil, err
	}
	bare := *response
	bare.Groups = nil
	return appendGroups(&bare, object)
}

func (e *groupEncoder) group(name string, group rpc.Group) (json.RawMessage, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.groupLocked(name, group)
}

func (e *groupEncoder) groupLocked(name string, group rpc.Group) (json.RawMessage, error) {
	if kept, ok := e.groups[name]; ok && kept.digest == group.Digest && kept.index == group.Index {
		return kept.encoded, nil
	}
	encoded, err := json.Marshal(&group)
	if err != nil {
		return nil, err
	}
	if e.groups == nil {
		e.groups = map[string]encodedGroup{}
	}
	e.groups[name] = encodedGroup{index: group.Index, digest: group.Digest, encoded: encoded}
	return encoded, nil
}

// joinGroups returns the JSON object of groups that are marshalled already.
func joinGroups(groups map[string]json.RawMessage) (json.RawMessage, error) {
	var object bytes.Buffer
	object.WriteByte('{')
	for i, name := range slices.Sorted(maps.Keys(groups)) {
		if i > 0 {
			object.WriteByte(',')
		}
		quoted, err := json.Marshal(name)
		if err != nil {
			return nil, err
		}
		object.Write(quoted)
		object.WriteByte(':')
		object.Write(groups[name])
	}
	object.WriteByte('}')
	return object.Bytes(), nil
}

// appendGroups marshals a response that has no groups, and adds their JSON object.
func appendGroups(response *rpc.FetchResponse, groups json.RawMessage) (json.RawMessage, error) {
	head, err := json.Marshal(response)
	if err != nil {
		return nil, err
	}
	return slices.Concat(head[:len(head)-1], []byte(`,"groups":`), groups, []byte("}")), nil
}
