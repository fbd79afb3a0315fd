// The probing half of kin: datagrams of one JSON line each. A ping that is not
// answered in time is repeated through two third parties; if that fails too the
// member is suspected, and it is down when the suspicion is not refuted.
package membership

import (
	"context"
	"encoding/json"
	"math"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/eventlog"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// fullProbeLimit is the size of a fleet from which on far members are asked less often.
const fullProbeLimit = 24

func (m *Memberlist) sendPacket(address string, probe rpc.Probe) {
	me := m.Self()
	probe.From, probe.FromID = me.Name, me.ID
	if probe.Updates == nil {
		probe.Updates = m.nextBroadcasts()
	}
	raw, err := json.Marshal(probe)
	if err != nil {
		return
	}
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return
	}
	m.transport.Count("kin.probe", address, len(raw)+1)
	m.packetConn.WriteTo(append(raw, '\n'), net.UDPAddrFromAddrPort(to))
}

func (m *Memberlist) receiveLoop() {
	buffer := make([]byte, 64<<10)
	for {
		n, from, err := m.packetConn.ReadFrom(buffer)
		if err != nil {
			if m.env.IsStopping() || !m.env.Sleep(10*time.Millisecond) {
				return
			}
			continue
		}
		var probe rpc.Probe
		if err := json.Unmarshal(buffer[:n], &probe); err != nil {
			m.env.Events.Say(eventlog.MessageRefused, "kind", "kin.probe", "from", from.String())
			continue
		}
		m.applyUpdates(probe.Updates)
		switch probe.Kind {
		case "ping":
			if probe.To != "" && probe.To != m.env.Name {
				continue
			}
			if !m.IsLive(rpc.Peer{Name: probe.From, ID: probe.FromID}) {
				m.sendPacket(from.String(), rpc.Probe{Kind: "who"})
			}
			updates := m.nextBroadcasts()
			isDoubted := slices.ContainsFunc(probe.Updates, func(member rpc.Member) bool { return member.Name == m.env.Name })
			if isDoubted || m.announcesSelf() {
				updates = append(updates, m.Self())
			}
			m.sendPacket(from.String(), rpc.Probe{Kind: "ack", Sequence: probe.Sequence, Updates: updates})
		case "ack":
			m.mu.Lock()
			if waiter, ok := m.ackHandlers[probe.Sequence]; ok {
				delete(m.ackHandlers, probe.Sequence)
				close(waiter)
			}
			m.mu.Unlock()
		case "who":
			m.introduceTo(probe.From)
		case "relay":
			to, ok := m.Lookup(probe.To)
			if !ok {
				continue
			}
			seq := probe.Sequence
			m.env.Go(func() {
				if m.ping(to.RPCAddress, to.Name, nil) {
					m.sendPacket(from.String(), rpc.Probe{Kind: "ack", Sequence: seq})
				}
			})
		}
	}
}

// introduceTo makes this node, and all it knows, known to one that asked who it is:
// machines that come back together find one another first, and nobody else.
func (m *Memberlist) introduceTo(name ids.NodeName) {
	member, ok := m.Lookup(name)
	if !ok || !m.introducing.CompareAndSwap(false, true) {
		return
	}
	m.env.Go(func() {
		defer m.introducing.Store(false)
		m.pushPullNode(member.RPCAddress, true)
	})
}

// ping waits for the ack of one member; meanwhile verbs run after half time.
func (m *Memberlist) ping(address string, name ids.NodeName, relay func(seq uint64)) bool {
	m.mu.Lock()
	m.sequence++
	seq := m.sequence
	waiter := make(chan struct{})
	m.ackHandlers[seq] = waiter
	m.mu.Unlock()
	defer func() {
		m.mu.Lock()
		delete(m.ackHandlers, seq)
		m.mu.Unlock()
	}()
	await := func() bool {
		wakeup := time.NewTimer(m.env.Config.KinReply)
		defer wakeup.Stop()
		select {
		case <-waiter:
			return true
		case <-wakeup.C:
		case <-m.env.Done():
		}
		return false
	}
	ping := rpc.Probe{Kind: "ping", Sequence: seq, To: name}
	if s, ok := m.View()[name]; ok && s.State == StateSuspect {
		// Whoever is suspected must hear of it to refute it.
		ping.Updates = append(m.nextBroadcasts(), s.Member)
	}
	m.sendPacket(address, ping)
	if await() {
		return true
	}
	if relay == nil || m.env.IsStopping() {
		return false
	}
	relay(seq)
	const waits = 2 // the way through a third party is twice as long
	for range waits {
		if await() {
			return true
		}
	}
	return false
}

// nextProbeTarget picks the members in turn, in an order shuffled anew every time round.
func (m *Memberlist) nextProbeTarget() (rpc.Member, bool) {
	view := m.View()
	for range 2 {
		for len(m.probeOrder) > 0 {
			name := m.probeOrder[0]
			m.probeOrder = m.probeOrder[1:]
			if s, ok := view[name]; ok && name != m.env.Name && statePrecedence(s.State) < 2 {
				return s.Member, true
			}
		}
		// Near members are asked every time round, far ones in every fourth: their own
		// zone's members ask them too.
		m.probeRound++
		for name, s := range view {
			isNear := s.Zone == m.env.Config.Zone || len(view) < fullProbeLimit || ids.Hash(string(name))%4 == m.probeRound%4
			if name != m.env.Name && statePrecedence(s.State) < 2 && isNear {
				m.probeOrder = append(m.probeOrder, name)
			}
		}
		rand.Shuffle(len(m.probeOrder), func(i, j int) { m.probeOrder[i], m.probeOrder[j] = m.probeOrder[j], m.probeOrder[i] })
	}
	return rpc.Member{}, false
}

func (m *Memberlist) probeLoop() {
	for m.env.Sleep(m.env.Config.KinProbe) {
		m.expireSuspicions()
		target, ok := m.nextProbeTarget()
		if !ok {
			continue
		}
		relay := func(seq uint64) {
			asked := 0
			for name, s := range m.View() {
				if name != m.env.Name && name != target.Name && s.State == StateAlive && asked < 2 {
					m.sendPacket(s.RPCAddress, rpc.Probe{Kind: "relay", Sequence: seq, To: target.Name})
					asked++
				}
			}
		}
		if !m.ping(target.RPCAddress, target.Name, relay) && !m.answersOverTCP(target) && !m.env.IsStopping() {
			target.State = StateSuspect
			m.applyUpdates([]rpc.Member{target})
		}
	}
}

// answersOverTCP asks once more, over the pipe: on a full link datagrams are lost first.
func (m *Memberlist) answersOverTCP(target rpc.Member) bool {
	ctx, cancel := context.WithTimeout(m.env, max(2*m.env.Config.KinReply, 500*time.Millisecond))
	defer cancel()
	var member rpc.Member
	if m.transport.Ask(ctx, target.RPCAddress, "kin.here", struct{}{}, &member) != nil || member.Name != target.Name {
		return false
	}
	m.applyUpdates([]rpc.Member{member})
	return member.ID == target.ID
}

// suspicionTimeout is how long a suspect may refute: news takes longer to go round in a
// larger fleet, by the logarithm of its size.
func (m *Memberlist) suspicionTimeout(members int) time.Duration {
	return time.Duration(float64(m.env.Config.KinSuspect) * max(1, math.Log2(float64(members))/3))
}

// expireSuspicions takes out those whose suspicion was not refuted.
func (m *Memberlist) expireSuspicions() {
	var dead []rpc.Member
	view := m.View()
	patience := m.suspicionTimeout(len(view))
	for _, s := range view {
		if s.State == StateSuspect && time.Since(s.StateChange) > patience {
			member := s.Member
			member.State = StateDead
			dead = append(dead, member)
		}
	}
	if len(dead) > 0 {
		m.applyUpdates(dead)
	}
}
