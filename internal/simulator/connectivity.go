package simulator

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/checker"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/node"
)

// canReach tells whether two machines reach each other, both ways.
func (n *Network) canReach(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.blocked(a, b) && !n.blocked(b, a)
}

// leaders names the owners of all parts; it is empty while a part has none, or while
// the running core nodes do not all reach one another.
func (f *Fleet) leaders(running []*Machine) string {
	for i, a := range running {
		for _, b := range running[:i] {
			if !f.Network.canReach(a.IP, b.IP) {
				return ""
			}
		}
	}
	var leaders strings.Builder
	for shard := range ids.ShardCount + 1 {
		hasLeader := false
		for _, m := range running {
			if node := m.Node(); node != nil {
				if term, _, isServing := node.Consensus.Replica(ids.Shard(shard)).LeadershipSince(); isServing {
					hasLeader = true
					fmt.Fprint(&leaders, m.Name, term, " ")
				}
			}
		}
		if !hasLeader {
			return ""
		}
	}
	return leaders.String()
}

// recordConnectivity tells which proxies are in touch: for three seconds they had a way to
// every running core node, and the core was settled, with the same owners.
func (f *Fleet) recordConnectivity() {
	lastDisconnected, wasConnected, lastLeaders := map[*Machine]time.Time{}, map[*Machine]bool{}, ""
	lastNodes := map[*Machine]*node.Node{}
	f.goTask(func(r *rand.Rand) {
		time.Sleep(connectivityInterval)
		running := f.filter(func(m *Machine) bool { return m.IsCore && m.Node() != nil })
		leaders := f.leaders(running)
		leadersStable := leaders != "" && leaders == lastLeaders
		lastLeaders = leaders
		for _, proxyNode := range f.Proxies() {
			node := proxyNode.Node()
			reachesAll := leadersStable && node != nil && node == lastNodes[proxyNode]
			lastNodes[proxyNode] = node
			for _, m := range running {
				reachesAll = reachesAll && f.Network.canReach(proxyNode.IP, m.IP)
			}
			if !reachesAll {
				lastDisconnected[proxyNode] = time.Now()
			}
			isConnected := reachesAll && time.Since(lastDisconnected[proxyNode]) >= connectivityWindow
			if isConnected == wasConnected[proxyNode] {
				continue
			}
			wasConnected[proxyNode] = isConnected
			rec := checker.Record{Kind: checker.ProxyContact, Proxy: proxyNode.ProxyAddress(), Outcome: "out"}
			if isConnected {
				rec.Outcome = "in"
			}
			f.History.Add(rec)
		}
	})
}
