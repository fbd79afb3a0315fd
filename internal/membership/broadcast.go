package membership

import (
	"math/bits"
	"slices"

	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// nextBroadcasts picks the updates that ride on the next datagram, those sent on least
// often first, so that what is new goes round before what most know (SWIM, section 4.1).
// Each update counts as sent.
func (m *Memberlist) nextBroadcasts() []rpc.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	limit := m.transmitLimit()
	var picked []*memberRecord
	for _, record := range m.members {
		if record.isSpread(limit) {
			continue
		}
		at := len(picked)
		for at > 0 && record.transmits < picked[at-1].transmits {
			at--
		}
		if at < maxUpdatesPerPacket {
			picked = slices.Insert(picked, at, record)
			picked = picked[:min(len(picked), maxUpdatesPerPacket)]
		}
	}
	updates := make([]rpc.Member, 0, len(picked))
	for _, record := range picked {
		record.transmits++
		updates = append(updates, record.Member)
	}
	return updates
}

// isSpread reports whether an update need not be sent on any more: it was sent as often
// as the limit says, or less often but others keep telling this node of it.
func (r *memberRecord) isSpread(limit int) bool {
	return r.transmits >= limit || r.transmits >= minTransmits && r.transmits+2*r.duplicates >= limit
}

// transmitLimit is how often an update is sent on. It grows with the logarithm of the
// fleet's size, which is how many rounds an infection takes (SWIM, section 4.1). The
// caller holds mu.
func (m *Memberlist) transmitLimit() int {
	size := uint(len(m.members) + 1)
	return baseTransmits + bits.Len(size) - 1
}

// announcesSelf reports whether this node's own record goes with an acknowledgement:
// often while the record is new, seldom later.
func (m *Memberlist) announcesSelf() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.announcedIncarnation != m.self.Incarnation {
		m.announcedIncarnation, m.announcements = m.self.Incarnation, 0
	}
	m.announcements++
	return m.announcements <= initialAnnouncements || m.announcements%announceEvery == 0
}
