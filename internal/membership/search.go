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
	searchers   = 3
	searchTurn  = 300 * time.Millisecond
	searchFirst = time.Second
	searchMost  = 5 * time.Second
	lostCores   = 3 // how many lost core nodes are asked in one turn, with one other
)

// hunt is the search for one lost member.
type hunt struct {
	next  time.Time
	pause time.Duration
}

func (k *Memberlist) search() {
	hunts := map[ids.NodeName]*hunt{}
	for k.r.Sleep(environment.Jitter(searchTurn)) {
		for _, m := range k.due(hunts, time.Now()) {
			k.r.Go(func() { k.PushPull(m.RPCAddress) })
		}
	}
}

// RecentlyDead is the members that went down of late without a word, by name.
func (k *Memberlist) RecentlyDead() (members []rpc.Member) { return lostOf(k.View(), time.Now()) }

func lostOf(view map[ids.NodeName]NodeState, now time.Time) (members []rpc.Member) {
	for _, s := range view {
		if s.State == StateDead && now.Sub(s.StateChange) < lostKept {
			members = append(members, s.Member)
		}
	}
	slices.SortFunc(members, func(a, b rpc.Member) int { return strings.Compare(string(a.Name), string(b.Name)) })
	return members
}

// due picks the lost members that are to be asked now, those that waited longest, and
// sets when they are to be asked again.
func (k *Memberlist) due(hunts map[ids.NodeName]*hunt, now time.Time) (some []rpc.Member) {
	view := k.View()
	lost := slices.DeleteFunc(lostOf(view, now), func(m rpc.Member) bool { return !k.searches(view, m) })
	for name := range hunts {
		if !slices.ContainsFunc(lost, func(m rpc.Member) bool { return m.Name == name }) {
			delete(hunts, name)
		}
	}
	for _, m := range lost {
		if hunts[m.Name] == nil {
			hunts[m.Name] = &hunt{next: now, pause: searchFirst / 2}
		}
	}
	slices.SortStableFunc(lost, func(a, b rpc.Member) int { return hunts[a.Name].next.Compare(hunts[b.Name].next) })
	cores, others := lostCores, 1
	for _, m := range lost {
		h, left, most := hunts[m.Name], &others, searchMost
		if m.Core {
			left, most = &cores, searchFirst
		}
		if *left == 0 || h.next.After(now) {
			continue
		}
		*left--
		h.pause = min(2*h.pause, most)
		h.next = now.Add(environment.Jitter(h.pause))
		some = append(some, m)
	}
	return some
}

// searches tells whether this node is one of those that look for a lost member.
func (k *Memberlist) searches(view map[ids.NodeName]NodeState, lost rpc.Member) bool {
	if lost.Core && len(view) < probeAll {
		return true
	}
	mine, before := ids.Hash(string(lost.Name), string(k.r.Name)), 0
	for name, s := range view {
		if name != k.r.Name && rank(s.State) < 2 && ids.Hash(string(lost.Name), string(name)) < mine {
			if before++; before >= searchers {
				return false
			}
		}
	}
	return true
}
