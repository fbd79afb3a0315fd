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

// groupEncoder caches encoded groups by digest and index, and the encoded full fetch response
// of one epoch, so that each is marshalled once for all proxies. The zero value is ready for
// use.
type groupEncoder struct {
	// mu guards the fields below.
	mu         sync.Mutex
	groups     map[string]encodedGroup
	plain      encodedEpoch
	compressed encodedEpoch
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

// encodeEpoch returns the encoded response to a full fetch: the manifest and all groups of an
// epoch. With compress set, groups of at least minCompressedSize bytes are compressed.
func (e *groupEncoder) encodeEpoch(epoch *controlplane.EpochState, compress bool) (json.RawMessage, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	cached := &e.plain
	if compress {
		cached = &e.compressed
	}
	if cached.epoch == epoch {
		return cached.encoded, nil
	}
	manifest := epoch.Manifest()
	groups := make(map[string]json.RawMessage, len(manifest))
	for name := range manifest {
		group, _ := epoch.PublishedGroup(name)
		encoded, err := e.encodeGroupLocked(name, group)
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
	if compress && len(object) >= minCompressedSize {
		response.Packed = deflate(object)
		encoded, err = json.Marshal(response)
	} else {
		encoded, err = appendGroups(response, object)
	}
	if err != nil {
		return nil, err
	}
	*cached = encodedEpoch{epoch: epoch, encoded: encoded}
	return encoded, nil
}

// encodeResponse encodes the response to a fetch of named groups. Deltas are not cached here.
func (e *groupEncoder) encodeResponse(response *rpc.FetchResponse) (json.RawMessage, error) {
	groups := make(map[string]json.RawMessage, len(response.Groups))
	for name, group := range response.Groups {
		var err error
		if group.BaseDigest == "" {
			groups[name], err = e.encodeGroup(name, group)
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
	withoutGroups := *response
	withoutGroups.Groups = nil
	return appendGroups(&withoutGroups, object)
}

func (e *groupEncoder) encodeGroup(name string, group rpc.Group) (json.RawMessage, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.encodeGroupLocked(name, group)
}

// encodeGroupLocked is encodeGroup for a caller that holds mu.
func (e *groupEncoder) encodeGroupLocked(name string, group rpc.Group) (json.RawMessage, error) {
	if cached, ok := e.groups[name]; ok && cached.digest == group.Digest && cached.index == group.Index {
		return cached.encoded, nil
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

// joinGroups returns a JSON object of encoded groups, keyed by name.
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

// appendGroups marshals a response whose Groups is empty and inserts the encoded groups.
func appendGroups(response *rpc.FetchResponse, groups json.RawMessage) (json.RawMessage, error) {
	encoded, err := json.Marshal(response)
	if err != nil {
		return nil, err
	}
	return slices.Concat(encoded[:len(encoded)-1], []byte(`,"groups":`), groups, []byte("}")), nil
}
