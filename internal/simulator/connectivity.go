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
	var names strings.Builder
	for shard := range ids.ShardCount + 1 {
		isOwned := false
		for _, m := range running {
			if node := m.Node(); node != nil {
				if term, _, isServing := node.Consensus.Replica(ids.Shard(shard)).LeadershipSince(); isServing {
					isOwned = true
					fmt.Fprint(&names, m.Name, term, " ")
				}
			}
		}
		if !isOwned {
			return ""
		}
	}
	return names.String()
}

// recordConnectivity tells which proxies are in touch: for three seconds they had a way to
// every running core node, and the core was settled, with the same owners.
func (f *Fleet) recordConnectivity() {
	since, isIn, last := map[*Machine]time.Time{}, map[*Machine]bool{}, ""
	nodes := map[*Machine]*node.Node{}
	f.goTask(func(r *rand.Rand) {
		time.Sleep(connectivityInterval)
		running := f.filter(func(m *Machine) bool { return m.IsCore && m.Node() != nil })
		leaders := f.leaders(running)
		leadersStable := leaders != "" && leaders == last
		last = leaders
		for _, proxyNode := range f.Proxies() {
			node := proxyNode.Node()
			hasAll := leadersStable && node != nil && node == nodes[proxyNode]
			nodes[proxyNode] = node
			for _, m := range running {
				hasAll = hasAll && f.Network.canReach(proxyNode.IP, m.IP)
			}
			if !hasAll {
				since[proxyNode] = time.Now()
			}
			is := hasAll && time.Since(since[proxyNode]) >= connectivityWindow
			if is == isIn[proxyNode] {
				continue
			}
			isIn[proxyNode] = is
			rec := checker.Record{Kind: checker.ProxyContact, Proxy: proxyNode.ProxyAddress(), Outcome: "out"}
			if is {
				rec.Outcome = "in"
			}
			f.History.Add(rec)
		}
	})
}
