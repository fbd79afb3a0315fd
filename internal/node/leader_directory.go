package node

import (
	"sync/atomic"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/ids"
)

// leaderRetryInterval is how long an unreachable leader is not called directly, even if another
// node names it as the leader. Each attempt may cost the call a dial timeout.
const leaderRetryInterval = 5 * time.Second

// leaderDirectory holds for each shard the address to send calls to. It is used by nodes that
// are not voters of the shard and learn the leader only from responses.
type leaderDirectory struct {
	now     func() time.Time
	entries [ids.ShardCount + 1]atomic.Pointer[leaderEntry]
}

// leaderEntry is the entry of one shard. It is immutable once stored.
type leaderEntry struct {
	address     string    // RPC address to send calls to; empty if not known
	unreachable string    // RPC address of the last node that could not be reached
	failedAt    time.Time // when unreachable could not be reached
}

// entry returns the entry of a shard, which is empty if none was stored.
func (d *leaderDirectory) entry(shard ids.Shard) leaderEntry {
	if entry := d.entries[shard].Load(); entry != nil {
		return *entry
	}
	return leaderEntry{}
}

// Address returns the RPC address to send calls of a shard to, or "" if it is not known.
func (d *leaderDirectory) Address(shard ids.Shard) string { return d.entry(shard).address }

// RecordResponse records that the node at address answered a call which the node at leader
// executed. leader is empty if the response doesn't name it. Later calls are sent to the leader,
// or to the node that answered while the leader is considered unreachable.
func (d *leaderDirectory) RecordResponse(shard ids.Shard, address, leader string) {
	entry := d.entry(shard)
	isAvoided := leader != address && leader == entry.unreachable && d.now().Sub(entry.failedAt) < leaderRetryInterval
	if leader == "" || isAvoided {
		leader = address
	}
	if entry.address == leader {
		return
	}
	entry.address = leader
	d.entries[shard].Store(&entry)
}

// RecordError records that a call to the node at address failed. Later calls are not sent there
// until a response names it again. wasReached reports whether the node returned the error itself.
func (d *leaderDirectory) RecordError(shard ids.Shard, address string, wasReached bool) {
	entry := d.entry(shard)
	entry.address = ""
	if !wasReached {
		entry.unreachable, entry.failedAt = address, d.now()
	}
	d.entries[shard].Store(&entry)
}
