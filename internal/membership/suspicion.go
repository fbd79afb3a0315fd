package membership

import (
	"math"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// suspicionTimeout is how long a suspect may refute. Updates take longer to go round in a
// larger fleet, by the logarithm of its size; base holds up to eight members.
func suspicionTimeout(base time.Duration, members int) time.Duration {
	return time.Duration(float64(base) * max(1, math.Log2(float64(members))/3))
}

// expireSuspicions declares those dead that did not refute their suspicion in time
// (SWIM, section 4.2).
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
