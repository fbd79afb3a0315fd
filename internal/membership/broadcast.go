package membership

import (
	"math/bits"
	"slices"

	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// nextBroadcasts returns up to maxUpdatesPerPacket updates to piggyback on the next
// datagram and counts each as sent. Updates that were sent least often come first, so that
// new updates take precedence (SWIM, section 4.1).
func (m *Memberlist) nextBroadcasts() []rpc.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	limit := m.transmitLimit()
	var selected []*memberRecord
	for _, record := range m.members {
		if record.isDisseminated(limit) {
			continue
		}
		position := len(selected)
		for position > 0 && record.transmits < selected[position-1].transmits {
			position--
		}
		if position < maxUpdatesPerPacket {
			selected = slices.Insert(selected, position, record)
			selected = selected[:min(len(selected), maxUpdatesPerPacket)]
		}
	}
	updates := make([]rpc.Member, 0, len(selected))
	for _, record := range selected {
		record.transmits++
		updates = append(updates, record.Member)
	}
	return updates
}

// isDisseminated reports whether an update need not be sent any more: it was sent limit
// times, or at least minTransmits times while duplicates show that other nodes send it too.
// Each duplicate then counts as two transmits.
func (r *memberRecord) isDisseminated(limit int) bool {
	return r.transmits >= limit || r.transmits >= minTransmits && r.transmits+2*r.duplicates >= limit
}

// transmitLimit returns the number of times an update is sent. It grows with the logarithm
// of the fleet size, as the number of rounds needed for infection-style dissemination does
// (SWIM, section 4.1). The caller holds mu.
func (m *Memberlist) transmitLimit() int {
	size := uint(len(m.members) + 1)
	return baseTransmits + bits.Len(size) - 1
}

// shouldAnnounceSelf reports whether to attach this node's own record to the next
// acknowledgement, and counts that acknowledgement. See initialAnnouncements.
func (m *Memberlist) shouldAnnounceSelf() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.announcedIncarnation != m.self.Incarnation {
		m.announcedIncarnation, m.announcements = m.self.Incarnation, 0
	}
	m.announcements++
	return m.announcements <= initialAnnouncements || m.announcements%announceEvery == 0
}
