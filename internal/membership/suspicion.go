package membership

import (
	"math"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// suspicionTimeout returns the time a suspect has to refute. It is base for up to eight
// members and grows with the logarithm of the fleet size, as the time to disseminate an
// update does.
func suspicionTimeout(base time.Duration, members int) time.Duration {
	return time.Duration(float64(base) * max(1, math.Log2(float64(members))/3))
}

// expireSuspicions declares dead the suspects that did not refute in time (SWIM, section
// 4.2).
func (m *Memberlist) expireSuspicions() {
	view := m.View()
	timeout := suspicionTimeout(m.config.suspicionTimeout, len(view))
	var dead []rpc.Member
	for _, member := range view {
		if member.State == StateSuspect && time.Since(member.StateChange) > timeout {
			member.State = StateDead
			dead = append(dead, member.Member)
		}
	}
	if len(dead) > 0 {
		m.applyUpdates(dead)
	}
}
