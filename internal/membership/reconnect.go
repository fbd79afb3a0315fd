package membership

import (
	"slices"
	"strings"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// reconnectState is the search for one dead member.
type reconnectState struct {
	nextAttempt time.Time
	backoff     time.Duration
}

// reconnectLoop looks for members that died without leaving, as Serf does: after a
// partition each side holds the other for dead, and neither probes it. For each such
// member a few nodes, on whom all agree, try an exchange of lists with growing pauses;
// the others wait for the news. Core members, without which nothing is decided or heard
// of, are asked each second, in small fleets by all.
func (m *Memberlist) reconnectLoop() {
	searches := map[ids.NodeName]*reconnectState{}
	for m.env.Sleep(environment.Jitter(reconnectInterval)) {
		for _, member := range m.dueReconnects(searches, time.Now()) {
			m.env.Go(func() { m.PushPull(member.RPCAddress) })
		}
	}
}

// RecentlyDead returns the members that died without leaving in the last ten minutes, by
// name.
func (m *Memberlist) RecentlyDead() []rpc.Member { return recentlyDead(m.View(), time.Now()) }

func recentlyDead(view map[ids.NodeName]NodeState, now time.Time) (dead []rpc.Member) {
	for _, member := range view {
		if member.State == StateDead && now.Sub(member.StateChange) < reconnectTimeout {
			dead = append(dead, member.Member)
		}
	}
	slices.SortFunc(dead, func(a, b rpc.Member) int { return strings.Compare(string(a.Name), string(b.Name)) })
	return dead
}

// dueReconnects returns the dead members to ask now, those that waited longest first, and
// sets when they are to be asked again. It drops searches that have ended.
func (m *Memberlist) dueReconnects(searches map[ids.NodeName]*reconnectState, now time.Time) (due []rpc.Member) {
	view := m.View()
	dead := slices.DeleteFunc(recentlyDead(view, now), func(member rpc.Member) bool { return !m.reconnectsTo(view, member) })
	for name := range searches {
		if !slices.ContainsFunc(dead, func(member rpc.Member) bool { return member.Name == name }) {
			delete(searches, name)
		}
	}
	for _, member := range dead {
		if searches[member.Name] == nil {
			searches[member.Name] = &reconnectState{nextAttempt: now, backoff: minReconnectBackoff / 2}
		}
	}
	slices.SortStableFunc(dead, func(a, b rpc.Member) int {
		return searches[a.Name].nextAttempt.Compare(searches[b.Name].nextAttempt)
	})
	coresLeft, othersLeft := maxCoreReconnects, maxOtherReconnects
	for _, member := range dead {
		search, left, maxBackoff := searches[member.Name], &othersLeft, maxReconnectBackoff
		if member.Core {
			left, maxBackoff = &coresLeft, minReconnectBackoff
		}
		if *left == 0 || search.nextAttempt.After(now) {
			continue
		}
		*left--
		search.backoff = min(2*search.backoff, maxBackoff)
		search.nextAttempt = now.Add(environment.Jitter(search.backoff))
		due = append(due, member)
	}
	return due
}

// reconnectsTo reports whether this node is one of those that look for a dead member:
// the live nodes whose names hash lowest with its name (rendezvous hashing).
func (m *Memberlist) reconnectsTo(view map[ids.NodeName]NodeState, dead rpc.Member) bool {
	if dead.Core && len(view) < fullProbeLimit {
		return true
	}
	own, lower := ids.Hash(string(dead.Name), string(m.env.Name)), 0
	for name, member := range view {
		if name != m.env.Name && member.IsLive() && ids.Hash(string(dead.Name), string(name)) < own {
			if lower++; lower >= reconnectors {
				return false
			}
		}
	}
	return true
}
