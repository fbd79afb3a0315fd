// Looking for members that went down without a word: each side of a healed cut holds
// the other for down, and neither probes it. For each lost member a few nodes look, by
// a score of both names that all reckon alike, and ask the lost one alone, at pauses
// that grow, though not for core nodes, without which nothing is decided or heard of:
// those are asked every second, in small fleets by all. Others wait for the news.
package membership

import (
	"slices"
	"strings"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

const (
	reconnectors        = 3
	reconnectInterval   = 300 * time.Millisecond
	minReconnectBackoff = time.Second
	maxReconnectBackoff = 5 * time.Second
	maxCoreReconnects   = 3 // how many lost core nodes are asked in one turn, with one other
)

// reconnectState is the search for one lost member.
type reconnectState struct {
	nextAttempt time.Time
	backoff     time.Duration
}

func (m *Memberlist) reconnectLoop() {
	hunts := map[ids.NodeName]*reconnectState{}
	for m.env.Sleep(environment.Jitter(reconnectInterval)) {
		for _, member := range m.dueReconnects(hunts, time.Now()) {
			m.env.Go(func() { m.PushPull(member.RPCAddress) })
		}
	}
}

// RecentlyDead is the members that went down of late without a word, by name.
func (m *Memberlist) RecentlyDead() (members []rpc.Member) { return recentlyDead(m.View(), time.Now()) }

func recentlyDead(view map[ids.NodeName]NodeState, now time.Time) (members []rpc.Member) {
	for _, s := range view {
		if s.State == StateDead && now.Sub(s.StateChange) < reconnectTimeout {
			members = append(members, s.Member)
		}
	}
	slices.SortFunc(members, func(a, b rpc.Member) int { return strings.Compare(string(a.Name), string(b.Name)) })
	return members
}

// dueReconnects picks the lost members that are to be asked now, those that waited longest, and
// sets when they are to be asked again.
func (m *Memberlist) dueReconnects(hunts map[ids.NodeName]*reconnectState, now time.Time) (selected []rpc.Member) {
	view := m.View()
	lost := slices.DeleteFunc(recentlyDead(view, now), func(member rpc.Member) bool { return !m.reconnectsTo(view, member) })
	for name := range hunts {
		if !slices.ContainsFunc(lost, func(member rpc.Member) bool { return member.Name == name }) {
			delete(hunts, name)
		}
	}
	for _, member := range lost {
		if hunts[member.Name] == nil {
			hunts[member.Name] = &reconnectState{nextAttempt: now, backoff: minReconnectBackoff / 2}
		}
	}
	slices.SortStableFunc(lost, func(a, b rpc.Member) int { return hunts[a.Name].nextAttempt.Compare(hunts[b.Name].nextAttempt) })
	cores, others := maxCoreReconnects, 1
	for _, member := range lost {
		h, left, most := hunts[member.Name], &others, maxReconnectBackoff
		if member.Core {
			left, most = &cores, minReconnectBackoff
		}
		if *left == 0 || h.nextAttempt.After(now) {
			continue
		}
		*left--
		h.backoff = min(2*h.backoff, most)
		h.nextAttempt = now.Add(environment.Jitter(h.backoff))
		selected = append(selected, member)
	}
	return selected
}

// reconnectsTo tells whether this node is one of those that look for a lost member.
func (m *Memberlist) reconnectsTo(view map[ids.NodeName]NodeState, lost rpc.Member) bool {
	if lost.Core && len(view) < fullProbeLimit {
		return true
	}
	mine, before := ids.Hash(string(lost.Name), string(m.env.Name)), 0
	for name, s := range view {
		if name != m.env.Name && statePrecedence(s.State) < 2 && ids.Hash(string(lost.Name), string(name)) < mine {
			if before++; before >= reconnectors {
				return false
			}
		}
	}
	return true
}
