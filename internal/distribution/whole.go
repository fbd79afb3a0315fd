// What a control node answers to full fetches. Each group is encoded once for its
// digest and version, and the whole once for its epoch, for all who ask. Only so many
// full fetches are under way at once, from the ask to the last byte written; who comes
// beside them is told at once when to ask again, each a little later than the one
// before, so that a fleet that starts together does not come back together.
package distribution

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/controlplane"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// fetchLimiter are the places for full fetches. The zero value's are set by most.
type fetchLimiter struct {
	mu              sync.Mutex
	inFlight        int
	averageDuration time.Duration // how long a fetch took of late, smoothed
	nextFree        time.Time     // when the place that was told last comes free
}

// The least that an asker is told to wait, and the pace before any was measured.
const (
	minRetryAfter   = 50 * time.Millisecond
	assumedDuration = 20 * time.Millisecond
)

// acquire gives a place, or tells in how long one should be free: no longer than longest.
func (l *fetchLimiter) acquire(now time.Time, most int, longest time.Duration) (retryAfter time.Duration, isTaken bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inFlight < most {
		l.inFlight++
		return 0, true
	}
	if l.nextFree.Before(now) {
		l.nextFree = now
	}
	l.nextFree = l.nextFree.Add(max(l.averageDuration, assumedDuration) / time.Duration(most))
	if l.nextFree.After(now.Add(longest)) {
		l.nextFree = now.Add(longest)
	}
	return max(l.nextFree.Sub(now), minRetryAfter), false
}

func (l *fetchLimiter) release(took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight--
	l.averageDuration = (3*l.averageDuration + took) / 4
}

// encodedGroup is a group as it goes out.
type encodedGroup struct {
	version ids.Index
	digest  string
	raw     json.RawMessage
}

// groupEncoder keeps what was encoded last.
type groupEncoder struct {
	mu     sync.Mutex
	groups map[string]encodedGroup
	epochs [2]struct {
		sheet *controlplane.EpochState
		raw   json.RawMessage
	} // plain, and packed
}

// epoch is the whole of an epoch with its manifest, as the receipt of a full fetch, with
// its groups packed or not.
func (e *groupEncoder) epoch(state *controlplane.EpochState, isPacked bool) (json.RawMessage, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	kept := &e.epochs[0]
	if isPacked {
		kept = &e.epochs[1]
	}
	if kept.sheet == state {
		return kept.raw, nil
	}
	manifest := state.Manifest()
	groups := make(map[string]json.RawMessage, len(manifest))
	for name := range manifest {
		group, _ := state.PublishedGroup(name)
		raw, err := e.groupLocked(name, group)
		if err != nil {
			return nil, err
		}
		groups[name] = raw
	}
	for name := range e.groups {
		if _, ok := manifest[name]; !ok {
			delete(e.groups, name)
		}
	}
	response := &rpc.FetchResponse{Epoch: state.Epoch, Manifest: manifest}
	text, err := joinGroups(groups)
	if err != nil {
		return nil, err
	}
	if isPacked && len(text) >= minCompressedSize {
		response.Packed = deflate(text)
		kept.raw, err = json.Marshal(response)
	} else {
		kept.raw, err = appendGroups(response, text)
	}
	if err != nil {
		return nil, err
	}
	kept.sheet = state
	return kept.raw, nil
}

// group is one whole group as it goes out.
func (e *groupEncoder) group(name string, group rpc.Group) (json.RawMessage, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.groupLocked(name, group)
}

// groupLocked is group; the lock is held.
func (e *groupEncoder) groupLocked(name string, group rpc.Group) (json.RawMessage, error) {
	if kept, ok := e.groups[name]; ok && kept.digest == group.Digest && kept.version == group.Index {
		return kept.raw, nil
	}
	raw, err := json.Marshal(&group)
	if err != nil {
		return nil, err
	}
	if e.groups == nil {
		e.groups = map[string]encodedGroup{}
	}
	e.groups[name] = encodedGroup{version: group.Index, digest: group.Digest, raw: raw}
	return raw, nil
}

// joinGroups is the text of groups that are encoded already.
func joinGroups(groups map[string]json.RawMessage) (json.RawMessage, error) {
	var text bytes.Buffer
	text.WriteByte('{')
	for i, name := range slices.Sorted(maps.Keys(groups)) {
		if i > 0 {
			text.WriteByte(',')
		}
		quoted, err := json.Marshal(name)
		if err != nil {
			return nil, err
		}
		text.Write(quoted)
		text.WriteByte(':')
		text.Write(groups[name])
	}
	text.WriteByte('}')
	return text.Bytes(), nil
}

// appendGroups is a receipt with the text of its groups.
func appendGroups(response *rpc.FetchResponse, groups json.RawMessage) (json.RawMessage, error) {
	head, err := json.Marshal(response)
	if err != nil {
		return nil, err
	}
	return slices.Concat(head[:len(head)-1], []byte(`,"groups":`), groups, []byte("}")), nil
}

// fetch answers a fetch: of the groups named, or of all.
func (s *Server) fetch(c *rpc.Request, request *rpc.FetchRequest) (any, error) {
	if len(request.Groups) == 0 {
		return s.fetchFull(c, request.AcceptsPacked)
	}
	if err := s.checkLeaderContact(); err != nil {
		return nil, err
	}
	state := s.state.Current()
	response := &rpc.FetchResponse{Epoch: state.Epoch, Groups: map[string]rpc.Group{}}
	for _, name := range request.Groups {
		if group, ok := state.PublishedGroup(name); ok {
			response.Groups[name] = s.shorten(name, request.HeldDigests[name], group)
		}
	}
	if request.AcceptsPacked {
		if s.compress(response); response.Packed != nil {
			return response, nil
		}
	}
	groups := map[string]json.RawMessage{}
	for name, group := range response.Groups {
		raw, err := json.RawMessage(nil), error(nil)
		if group.BaseDigest == "" {
			raw, err = s.encoder.group(name, group)
		} else {
			raw, err = json.Marshal(&group)
		}
		if err != nil {
			return nil, errcode.New(errcode.Internal, "%v", err)
		}
		groups[name] = raw
	}
	text, err := joinGroups(groups)
	if err == nil {
		response.Groups = nil
		text, err = appendGroups(response, text)
	}
	if err != nil {
		return nil, errcode.New(errcode.Internal, "%v", err)
	}
	return &rpc.EncodedResponse{Body: text}, nil
}

func (s *Server) fetchFull(c *rpc.Request, isPacked bool) (any, error) {
	// A member that was just started holds what its last snapshot holds, until an
	// owner has told it how far the log is committed.
	if s.checkLeaderContact() != nil {
		return &rpc.FetchResponse{}, nil
	}
	return s.sendFull(c, s.state.Current(), isPacked)
}

// sendFull gives the whole of an epoch if there is a place.
func (s *Server) sendFull(c *rpc.Request, state *controlplane.EpochState, isPacked bool) (any, error) {
	began := time.Now()
	retryAfter, isTaken := s.limiter.acquire(began, s.env.Config.FlowFetches, s.env.Config.FlowCool)
	if !isTaken {
		return &rpc.FetchResponse{RetryAfterMillis: max(retryAfter.Milliseconds(), 1)}, nil
	}
	leave := func() { s.limiter.release(time.Since(began)) }
	raw, err := s.encoder.epoch(state, isPacked)
	if err != nil || c.Err() != nil {
		leave()
		return nil, errcode.New(errcode.ReplyLost, "the fetch is given up: %v", err)
	}
	return &rpc.EncodedResponse{Body: raw, Release: leave}, nil
}
