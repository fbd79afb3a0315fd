package membership

import (
	"encoding/json"
	"net"
	"net/netip"
	"slices"

	"github.com/sumactrestle/sumactrestle/internal/eventlog"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// Kinds of datagrams; each datagram is one line of JSON. The values are part of the wire
// format and must not change.
const (
	packetPing = "ping"
	packetAck  = "ack"
	// packetIndirectPing asks the receiver to ping another node; SWIM's ping-req.
	packetIndirectPing = "relay"
	// packetIdentify asks an unknown sender of a ping for its record.
	packetIdentify = "who"
	// packetUpdates carries only updates.
	packetUpdates = "news"

	// packetTrafficKind is the message kind under which all datagrams are counted and logged.
	packetTrafficKind = "kin.probe"
)

// sendPacket sends a datagram and attaches the next broadcasts unless it already has
// updates. Errors are ignored, since datagrams may be lost anyway.
func (m *Memberlist) sendPacket(address string, packet rpc.Probe) {
	self := m.Self()
	packet.From, packet.FromID = self.Name, self.ID
	if packet.Updates == nil {
		packet.Updates = m.nextBroadcasts()
	}
	raw, err := json.Marshal(packet)
	if err != nil {
		return
	}
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return
	}
	m.transport.RecordSent(packetTrafficKind, address, len(raw)+1)
	m.packetConn.WriteTo(append(raw, '\n'), net.UDPAddrFromAddrPort(to))
}

// receiveLoop handles incoming datagrams until the environment ends.
func (m *Memberlist) receiveLoop() {
	buffer := make([]byte, maxPacketBytes)
	for {
		n, from, err := m.packetConn.ReadFrom(buffer)
		if err != nil {
			if m.env.IsStopping() || !m.env.Sleep(receiveRetryDelay) {
				return
			}
			continue
		}
		var packet rpc.Probe
		if err := json.Unmarshal(buffer[:n], &packet); err != nil {
			m.env.Events.Emit(eventlog.MessageRejected, "kind", packetTrafficKind, "from", from.String())
			continue
		}
		m.handlePacket(from.String(), packet)
	}
}

func (m *Memberlist) handlePacket(from string, packet rpc.Probe) {
	m.applyUpdates(packet.Updates)
	switch packet.Kind {
	case packetPing:
		m.handlePing(from, packet)
	case packetAck:
		m.handleAck(packet.Sequence)
	case packetIndirectPing:
		m.handleIndirectPing(from, packet)
	case packetIdentify:
		m.announceTo(packet.From)
	}
}

// handlePing acknowledges a ping addressed to this node. If the sender suspects this node,
// the ping's updates include the suspicion, and the acknowledgement the refutation.
func (m *Memberlist) handlePing(from string, ping rpc.Probe) {
	if ping.To != "" && ping.To != m.env.Name {
		return // addressed to a former owner of the address
	}
	if !m.IsLive(rpc.Peer{Name: ping.From, ID: ping.FromID}) {
		m.sendPacket(from, rpc.Probe{Kind: packetIdentify})
	}
	updates := m.nextBroadcasts()
	isSuspected := slices.ContainsFunc(ping.Updates, func(update rpc.Member) bool { return update.Name == m.env.Name })
	if isSuspected || m.shouldAnnounceSelf() {
		updates = append(updates, m.Self())
	}
	m.sendPacket(from, rpc.Probe{Kind: packetAck, Sequence: ping.Sequence, Updates: updates})
}

// handleIndirectPing pings a member on behalf of another node and forwards the
// acknowledgement to it.
func (m *Memberlist) handleIndirectPing(from string, packet rpc.Probe) {
	target, ok := m.Lookup(packet.To)
	if !ok {
		return
	}
	m.env.Go(func() {
		if m.ping(target) {
			m.sendPacket(from, rpc.Probe{Kind: packetAck, Sequence: packet.Sequence})
		}
	})
}

func (m *Memberlist) handleAck(sequence uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if acknowledged, ok := m.pendingAcks[sequence]; ok {
		delete(m.pendingAcks, sequence)
		close(acknowledged)
	}
}
