package membership

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// probeLoop is SWIM's failure detector (section 3.1): it probes one member in each
// interval and suspects it if it answers in no way.
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

// probe pings a member, and through others if it does not answer; an acknowledgement of
// the direct ping that comes late counts too.
func (m *Memberlist) probe(target rpc.Member) bool {
	sequence, acknowledged, forget := m.expectAck()
	defer forget()
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

// ping pings a member directly only.
func (m *Memberlist) ping(target rpc.Member) bool {
	sequence, acknowledged, forget := m.expectAck()
	defer forget()
	m.sendPing(target, sequence)
	return m.awaitAck(acknowledged, m.config.probeTimeout)
}

// pingOverConnection asks a member once more, over a connection: on a full link datagrams
// are lost first. It must be the same life of the node that answers.
func (m *Memberlist) pingOverConnection(target rpc.Member) bool {
	ctx, cancel := context.WithTimeout(m.env, max(2*m.config.probeTimeout, minReliableTimeout))
	defer cancel()
	var answer rpc.Member
	if m.transport.Call(ctx, target.RPCAddress, kindHere, struct{}{}, &answer) != nil || answer.Name != target.Name {
		return false
	}
	m.applyUpdates([]rpc.Member{answer})
	return answer.ID == target.ID
}

// sendPing sends the ping itself. A suspect is told so, that it may refute.
func (m *Memberlist) sendPing(target rpc.Member, sequence uint64) {
	ping := rpc.Probe{Kind: packetPing, Sequence: sequence, To: target.Name}
	if member, ok := m.View()[target.Name]; ok && member.State == StateSuspect {
		ping.Updates = append(m.nextBroadcasts(), member.Member)
	}
	m.sendPacket(target.RPCAddress, ping)
}

// sendIndirectPings asks others, at random, to ping a member.
func (m *Memberlist) sendIndirectPings(target rpc.Member, sequence uint64) {
	asked := 0
	for name, member := range m.View() {
		if asked == indirectProbes {
			return
		}
		if name != m.env.Name && name != target.Name && member.State == StateAlive {
			m.sendPacket(member.RPCAddress, rpc.Probe{Kind: packetIndirectPing, Sequence: sequence, To: target.Name})
			asked++
		}
	}
}

// expectAck returns a fresh sequence number and the channel that its acknowledgement
// closes; forget must be called in the end.
func (m *Memberlist) expectAck() (sequence uint64, acknowledged <-chan struct{}, forget func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sequence++
	sequence = m.sequence
	handler := make(chan struct{})
	m.ackHandlers[sequence] = handler
	return sequence, handler, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.ackHandlers, sequence)
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

// probeSchedule picks the members in turn, in an order that is shuffled in each round, so
// that the time until a failure is found is bounded (SWIM, section 4.3). The probe loop
// alone uses it.
type probeSchedule struct {
	self      ids.NodeName
	zone      string
	remaining []ids.NodeName // of this round
	round     uint64
}

// next returns the member to probe, if there is any.
func (s *probeSchedule) next(view map[ids.NodeName]NodeState) (rpc.Member, bool) {
	// What remains of a round may be gone by now; then the next round is tried once.
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

// startRound lines up the members of a round. In a large fleet those of other zones are
// probed in every fourth round only: members of their own zone probe them too.
func (s *probeSchedule) startRound(view map[ids.NodeName]NodeState) {
	s.round++
	for name, member := range view {
		isDue := member.Zone == s.zone || len(view) < fullProbeLimit || ids.Hash(string(name))%farProbeRounds == s.round%farProbeRounds
		if name != s.self && member.IsLive() && isDue {
			s.remaining = append(s.remaining, name)
		}
	}
	rand.Shuffle(len(s.remaining), func(i, j int) { s.remaining[i], s.remaining[j] = s.remaining[j], s.remaining[i] })
}
