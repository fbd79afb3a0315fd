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

// canReach reports whether traffic passes between two machines in both directions.
func (n *Network) canReach(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.blocked(a, b) && !n.blocked(b, a)
}

// leaders returns the leaders of all shards with their terms as one string, for comparison. It is
// empty while a shard has no leader, or while some running core nodes cannot reach each other.
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

// recordConnectivity records when each proxy becomes connected or disconnected. A proxy is
// connected if, for connectivityWindow, it did not restart, it could reach every running core node
// and the leaders did not change.
func (f *Fleet) recordConnectivity() {
	lastInterruption, wasConnected, lastLeaders := map[*Machine]time.Time{}, map[*Machine]bool{}, ""
	lastNodes := map[*Machine]*node.Node{}
	f.goTask(func(r *rand.Rand) {
		time.Sleep(connectivityInterval)
		running := f.filter(func(m *Machine) bool { return m.IsCore && m.Node() != nil })
		leaders := f.leaders(running)
		leadersStable := leaders != "" && leaders == lastLeaders
		lastLeaders = leaders
		for _, proxyNode := range f.Proxies() {
			node := proxyNode.Node()
			isUninterrupted := leadersStable && node != nil && node == lastNodes[proxyNode]
			lastNodes[proxyNode] = node
			for _, m := range running {
				isUninterrupted = isUninterrupted && f.Network.canReach(proxyNode.IP, m.IP)
			}
			if !isUninterrupted {
				lastInterruption[proxyNode] = time.Now()
			}
			isConnected := isUninterrupted && time.Since(lastInterruption[proxyNode]) >= connectivityWindow
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
