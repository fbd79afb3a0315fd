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

// turns are the places for full fetches. The zero value's are set by most.
type turns struct {
	mu    sync.Mutex
	under int
	pace  time.Duration // how long a fetch took of late, smoothed
	next  time.Time     // when the place that was told last comes free
}

// The least that an asker is told to wait, and the pace before any was measured.
const (
	laterLeast = 50 * time.Millisecond
	firstPace  = 20 * time.Millisecond
)

// take gives a place, or tells in how long one should be free: no longer than longest.
func (t *turns) take(now time.Time, most int, longest time.Duration) (later time.Duration, isTaken bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.under < most {
		t.under++
		return 0, true
	}
	if t.next.Before(now) {
		t.next = now
	}
	t.next = t.next.Add(max(t.pace, firstPace) / time.Duration(most))
	if t.next.After(now.Add(longest)) {
		t.next = now.Add(longest)
	}
	return max(t.next.Sub(now), laterLeast), false
}

func (t *turns) leave(took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.under--
	t.pace = (3*t.pace + took) / 4
}

// coded is a group as it goes out.
type coded struct {
	stamp  ids.Index
	digest string
	raw    json.RawMessage
}

// coder keeps what was encoded last.
type coder struct {
	mu     sync.Mutex
	groups map[string]coded
	wholes [2]struct {
		sheet *controlplane.EpochState
		raw   json.RawMessage
	} // plain, and packed
}

// all is the whole of an epoch with its manifest, as the receipt of a full fetch, with
// its groups packed or not.
func (c *coder) all(sheet *controlplane.EpochState, isPacked bool) (json.RawMessage, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := &c.wholes[0]
	if isPacked {
		kept = &c.wholes[1]
	}
	if kept.sheet == sheet {
		return kept.raw, nil
	}
	manifest := sheet.Manifest()
	groups := make(map[string]json.RawMessage, len(manifest))
	for name := range manifest {
		group, _ := sheet.PublishedGroup(name)
		raw, err := c.one(name, group)
		if err != nil {
			return nil, err
		}
		groups[name] = raw
	}
	for name := range c.groups {
		if _, ok := manifest[name]; !ok {
			delete(c.groups, name)
		}
	}
	receipt := &rpc.FetchResponse{Epoch: sheet.Epoch, Manifest: manifest}
	text, err := joinGroups(groups)
	if err != nil {
		return nil, err
	}
	if isPacked && len(text) >= packLeast {
		receipt.Packed = deflate(text)
		kept.raw, err = json.Marshal(receipt)
	} else {
		kept.raw, err = withGroups(receipt, text)
	}
	if err != nil {
		return nil, err
	}
	kept.sheet = sheet
	return kept.raw, nil
}

// group is one whole group as it goes out.
func (c *coder) group(name string, group rpc.Group) (json.RawMessage, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.one(name, group)
}

// one is group; the lock is held.
func (c *coder) one(name string, group rpc.Group) (json.RawMessage, error) {
	if kept, ok := c.groups[name]; ok && kept.digest == group.Digest && kept.stamp == group.Index {
		return kept.raw, nil
	}
	raw, err := json.Marshal(&group)
	if err != nil {
		return nil, err
	}
	if c.groups == nil {
		c.groups = map[string]coded{}
	}
	c.groups[name] = coded{stamp: group.Index, digest: group.Digest, raw: raw}
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

// withGroups is a receipt with the text of its groups.
func withGroups(receipt *rpc.FetchResponse, groups json.RawMessage) (json.RawMessage, error) {
	head, err := json.Marshal(receipt)
	if err != nil {
		return nil, err
	}
	return slices.Concat(head[:len(head)-1], []byte(`,"groups":`), groups, []byte("}")), nil
}

// fetch answers a fetch: of the groups named, or of all.
func (s *Server) fetch(c *rpc.Call, ask *rpc.FetchRequest) (any, error) {
	if len(ask.Groups) == 0 {
		return s.fetchAll(c, ask.AcceptsPacked)
	}
	if err := s.checkContact(); err != nil {
		return nil, err
	}
	sheet := s.ledger.Current()
	receipt := &rpc.FetchResponse{Epoch: sheet.Epoch, Groups: map[string]rpc.Group{}}
	for _, name := range ask.Groups {
		if group, ok := sheet.PublishedGroup(name); ok {
			receipt.Groups[name] = s.short(name, ask.HeldDigests[name], group)
		}
	}
	if ask.AcceptsPacked {
		if s.pack(receipt); receipt.Packed != nil {
			return receipt, nil
		}
	}
	groups := map[string]json.RawMessage{}
	for name, group := range receipt.Groups {
		raw, err := json.RawMessage(nil), error(nil)
		if group.BaseDigest == "" {
			raw, err = s.coder.group(name, group)
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
		receipt.Groups = nil
		text, err = withGroups(receipt, text)
	}
	if err != nil {
		return nil, errcode.New(errcode.Internal, "%v", err)
	}
	return &rpc.Raw{Body: text}, nil
}

func (s *Server) fetchAll(c *rpc.Call, isPacked bool) (any, error) {
	// A member that was just started holds what its last snapshot holds, until an
	// owner has told it how far the log is committed.
	if s.checkContact() != nil {
		return &rpc.FetchResponse{}, nil
	}
	return s.hand(c, s.ledger.Current(), isPacked)
}

// hand gives the whole of an epoch if there is a place.
func (s *Server) hand(c *rpc.Call, sheet *controlplane.EpochState, isPacked bool) (any, error) {
	began := time.Now()
	later, isTaken := s.turns.take(began, s.r.Config.FlowFetches, s.r.Config.FlowCool)
	if !isTaken {
		return &rpc.FetchResponse{RetryAfterMillis: max(later.Milliseconds(), 1)}, nil
	}
	leave := func() { s.turns.leave(time.Since(began)) }
	raw, err := s.coder.all(sheet, isPacked)
	if err != nil || c.Err() != nil {
		leave()
		return nil, errcode.New(errcode.ReplyLost, "the fetch is given up: %v", err)
	}
	return &rpc.Raw{Body: raw, Sent: leave}, nil
}
