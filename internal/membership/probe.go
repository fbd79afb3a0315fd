package membership

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// probeLoop is SWIM's failure detector (section 3.1). In each interval it probes one
// member, and suspects it if neither the probe nor a ping over a connection succeeds.
func (m *Memberlist) probeLoop() {
	schedule := &probeSchedule{self: m.env.Name, zone: m.config.zone}
	for m.env.Sleep(m.config.probeInterval) {
		m.expireSuspicions()
		target, ok := schedule.next(m.View())
		if !ok {
			continue
		}
		if !m.probe(target) && !m.pingOverConnection(target) && !m.env.IsStopping() {
			target.State = StateSuspect
			m.applyUpdates([]rpc.Member{target})
		}
	}
}

// probe pings a member directly and, if it does not acknowledge in time, through other
// members. A late acknowledgement of the direct ping counts too.
func (m *Memberlist) probe(target rpc.Member) bool {
	sequence, acknowledged, cancel := m.expectAck()
	defer cancel()
	m.sendPing(target, sequence)
	if m.awaitAck(acknowledged, m.config.probeTimeout) {
		return true
	}
	if m.env.IsStopping() {
		return false
	}
	m.sendIndirectPings(target, sequence)
	return m.awaitAck(acknowledged, indirectTimeoutFactor*m.config.probeTimeout)
}

// ping sends a direct ping and reports whether it was acknowledged in time.
func (m *Memberlist) ping(target rpc.Member) bool {
	sequence, acknowledged, cancel := m.expectAck()
	defer cancel()
	m.sendPing(target, sequence)
	return m.awaitAck(acknowledged, m.config.probeTimeout)
}

// pingOverConnection requests a member's record over a connection, since datagrams are
// lost first on a congested link. It reports whether a node with the same name and member
// ID answered.
func (m *Memberlist) pingOverConnection(target rpc.Member) bool {
	ctx, cancel := context.WithTimeout(m.env, max(2*m.config.probeTimeout, minConnectionPingTimeout))
	defer cancel()
	var answer rpc.Member
	if m.transport.Call(ctx, target.RPCAddress, kindMemberRecord, struct{}{}, &answer) != nil || answer.Name != target.Name {
		return false
	}
	m.applyUpdates([]rpc.Member{answer})
	return answer.ID == target.ID
}

// sendPing sends a ping. A ping to a suspect includes the suspicion, so that it can refute.
func (m *Memberlist) sendPing(target rpc.Member, sequence uint64) {
	ping := rpc.Probe{Kind: packetPing, Sequence: sequence, To: target.Name}
	if member, ok := m.View()[target.Name]; ok && member.State == StateSuspect {
		ping.Updates = append(m.nextBroadcasts(), member.Member)
	}
	m.sendPacket(target.RPCAddress, ping)
}

// sendIndirectPings asks up to indirectProbes random members to ping the target.
func (m *Memberlist) sendIndirectPings(target rpc.Member, sequence uint64) {
	sent := 0
	for name, member := range m.View() {
		if sent == indirectProbes {
			return
		}
		if name != m.env.Name && name != target.Name && member.State == StateAlive {
			m.sendPacket(member.RPCAddress, rpc.Probe{Kind: packetIndirectPing, Sequence: sequence, To: target.Name})
			sent++
		}
	}
}

// expectAck returns a new sequence number and a channel that is closed when the
// acknowledgement with that number is received. The caller must call cancel when done.
func (m *Memberlist) expectAck() (sequence uint64, acknowledged <-chan struct{}, cancel func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastSequence++
	sequence = m.lastSequence
	ack := make(chan struct{})
	m.pendingAcks[sequence] = ack
	return sequence, ack, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.pendingAcks, sequence)
	}
}

func (m *Memberlist) awaitAck(acknowledged <-chan struct{}, timeout time.Duration) bool {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-acknowledged:
		return true
	case <-timer.C:
	case <-m.env.Done():
	}
	return false
}

// probeSchedule selects the members to probe round-robin, in an order that is shuffled in
// each round, so that the time to detect a failure is bounded (SWIM, section 4.3). It is
// used only by probeLoop and needs no lock.
type probeSchedule struct {
	self      ids.NodeName
	zone      string
	remaining []ids.NodeName // members still to be probed in this round
	round     uint64
}

// next returns the next member to probe. It returns false if there is none.
func (s *probeSchedule) next(view map[ids.NodeName]NodeState) (rpc.Member, bool) {
	// The remaining members of a round may all be dead by now. In that case a new round is
	// started, once.
	for range 2 {
		for len(s.remaining) > 0 {
			name := s.remaining[0]
			s.remaining = s.remaining[1:]
			if member, ok := view[name]; ok && name != s.self && member.IsLive() {
				return member.Member, true
			}
		}
		s.startRound(view)
	}
	return rpc.Member{}, false
}

// startRound adds the members of the next round in random order. In a large fleet, each
// member of another zone is included only once in crossZoneProbeRounds rounds.
func (s *probeSchedule) startRound(view map[ids.NodeName]NodeState) {
	s.round++
	for name, member := range view {
		isDue := member.Zone == s.zone || len(view) < largeFleetSize || ids.Hash(string(name))%crossZoneProbeRounds == s.round%crossZoneProbeRounds
		if name != s.self && member.IsLive() && isDue {
			s.remaining = append(s.remaining, name)
		}
	}
	rand.Shuffle(len(s.remaining), func(i, j int) { s.remaining[i], s.remaining[j] = s.remaining[j], s.remaining[i] })
}
