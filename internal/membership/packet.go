package membership

import (
	"encoding/json"
	"net"
	"net/netip"
	"slices"

	"github.com/sumactrestle/sumactrestle/internal/eventlog"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// Kinds of datagrams, each one line of JSON. The names are on the wire and stay.
const (
	packetPing = "ping"
	packetAck  = "ack"
	// packetIndirectPing asks the receiver to ping a third node: SWIM's ping-req.
	packetIndirectPing = "relay"
	// packetIdentify asks the sender of a ping, which the receiver does not know, to make
	// itself known.
	packetIdentify = "who"
	// packetUpdates carries updates alone.
	packetUpdates = "news"

	// packetKind is how all datagrams are counted and logged.
	packetKind = "kin.probe"
)

// sendPacket sends a datagram, with the next broadcasts unless it has updates already.
// A datagram may be lost anyhow, so nothing is said of one that can't be sent.
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
	m.transport.RecordSent(packetKind, address, len(raw)+1)
	m.packetConn.WriteTo(append(raw, '\n'), net.UDPAddrFromAddrPort(to))
}

// receiveLoop handles one datagram after another until the environment ends.
func (m *Memberlist) receiveLoop() {
	buffer := make([]byte, maxPacketBytes)
	for {
		n, from, err := m.packetConn.ReadFrom(buffer)
		if err != nil {
			if m.env.IsStopping() || !m.env.Sleep(receiveErrorWait) {
				return
			}
			continue
		}
		var packet rpc.Probe
		if err := json.Unmarshal(buffer[:n], &packet); err != nil {
			m.env.Events.Emit(eventlog.MessageRejected, "kind", packetKind, "from", from.String())
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
		m.introduceTo(packet.From)
	}
}

// handlePing acknowledges a ping that is meant for this node. A pinger that holds this
// node for suspect says so in its updates and gets the refutation at once.
func (m *Memberlist) handlePing(from string, ping rpc.Probe) {
	if ping.To != "" && ping.To != m.env.Name {
		return // the address was another node's before
	}
	if !m.IsLive(rpc.Peer{Name: ping.From, ID: ping.FromID}) {
		m.sendPacket(from, rpc.Probe{Kind: packetIdentify})
	}
	updates := m.nextBroadcasts()
	isDoubted := slices.ContainsFunc(ping.Updates, func(update rpc.Member) bool { return update.Name == m.env.Name })
	if isDoubted || m.announcesSelf() {
		updates = append(updates, m.Self())
	}
	m.sendPacket(from, rpc.Probe{Kind: packetAck, Sequence: ping.Sequence, Updates: updates})
}

// handleIndirectPing pings a member on another's behalf and passes its acknowledgement on.
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
	if acknowledged, ok := m.ackHandlers[sequence]; ok {
		delete(m.ackHandlers, sequence)
		close(acknowledged)
	}
}
