package membership

import (
	"slices"
	"strings"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// reconnectState is the state of the attempts to reconnect to a dead member.
type reconnectState struct {
	nextAttempt time.Time
	backoff     time.Duration
}

// reconnectLoop tries to reconnect to members that died without leaving, as Serf does: after
// a partition each side has declared the other dead, and neither probes the other. For each
// such member, a few nodes chosen by rendezvous hashing attempt push/pull exchanges with
// exponential backoff; the others learn of its recovery by gossip. Core members are tried
// every second, in small fleets by all nodes, since consensus and the distribution of its
// results depend on them.
func (m *Memberlist) reconnectLoop() {
	reconnects := map[ids.NodeName]*reconnectState{}
	for m.env.Sleep(environment.Jitter(reconnectInterval)) {
		for _, member := range m.dueReconnects(reconnects, time.Now()) {
			m.env.Go(func() { m.PushPull(member.RPCAddress) })
		}
	}
}

// RecentlyDead returns the members that were declared dead within reconnectTimeout and did
// not leave, sorted by name.
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

// dueReconnects returns the dead members to which this node should try to reconnect now,
// longest overdue first, and schedules their next attempts. It removes members that need no
// further attempts from reconnects.
func (m *Memberlist) dueReconnects(reconnects map[ids.NodeName]*reconnectState, now time.Time) (due []rpc.Member) {
	view := m.View()
	dead := slices.DeleteFunc(recentlyDead(view, now), func(member rpc.Member) bool { return !m.reconnectsTo(view, member) })
	for name := range reconnects {
		if !slices.ContainsFunc(dead, func(member rpc.Member) bool { return member.Name == name }) {
			delete(reconnects, name)
		}
	}
	for _, member := range dead {
		if reconnects[member.Name] == nil {
			reconnects[member.Name] = &reconnectState{nextAttempt: now, backoff: minReconnectBackoff / 2}
		}
	}
	slices.SortStableFunc(dead, func(a, b rpc.Member) int {
		return reconnects[a.Name].nextAttempt.Compare(reconnects[b.Name].nextAttempt)
	})
	coreBudget, otherBudget := maxCoreReconnects, maxOtherReconnects
	for _, member := range dead {
		reconnect, budget, maxBackoff := reconnects[member.Name], &otherBudget, maxReconnectBackoff
		if member.Core {
			budget, maxBackoff = &coreBudget, minReconnectBackoff
		}
		if *budget == 0 || reconnect.nextAttempt.After(now) {
			continue
		}
		*budget--
		reconnect.backoff = min(2*reconnect.backoff, maxBackoff)
		reconnect.nextAttempt = now.Add(environment.Jitter(reconnect.backoff))
		due = append(due, member)
	}
	return due
}

// reconnectsTo reports whether this node is one of those that try to reconnect to a dead
// member. These are the reconnectorsPerMember live nodes whose names have the lowest hashes
// with the member's name (rendezvous hashing), or all nodes for a core member of a small
// fleet.
func (m *Memberlist) reconnectsTo(view map[ids.NodeName]NodeState, dead rpc.Member) bool {
	if dead.Core && len(view) < largeFleetSize {
		return true
	}
	selfHash, lowerCount := ids.Hash(string(dead.Name), string(m.env.Name)), 0
	for name, member := range view {
		if name != m.env.Name && member.IsLive() && ids.Hash(string(dead.Name), string(name)) < selfHash {
			if lowerCount++; lowerCount >= reconnectorsPerMember {
				return false
			}
		}
	}
	return true
}
