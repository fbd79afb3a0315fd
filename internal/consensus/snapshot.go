package consensus

import (
	"encoding/json"

	"github.com/sumactrestle/sumactrestle/internal/ids"
)

// logGrowthWhileSending is how many times its usual length the log may reach while a
// snapshot is on its way to a member, so that the entries after it are still there when
// it arrives.
const logGrowthWhileSending = 8

// maybeCompact takes a snapshot when the log has grown long. The state is captured at
// once, and encoded while further entries are applied.
func (r *Replica) maybeCompact() {
	threshold := r.node.env.Config.ConsensusSnapshotEntries
	if r.transfer.inFlight > 0 {
		threshold *= logGrowthWhileSending
	}
	if r.transfer.isCompacting || int(r.log.applied-r.log.snapshot.Index) < threshold {
		return
	}
	r.transfer.isCompacting = true
	index, encode := r.log.applied, r.stateMachine.Snapshot()
	r.node.env.Go(func() {
		state, err := encode()
		r.mu.Lock()
		defer r.mu.Unlock()
		r.transfer.isCompacting = false
		if err == nil && index > r.log.snapshot.Index && !r.node.env.IsStopping() {
			r.compactTo(index, state)
		}
	})
}

// compactNow takes a snapshot of what is applied now.
func (r *Replica) compactNow() {
	if state, err := r.stateMachine.Snapshot()(); err == nil {
		r.compactTo(r.log.applied, state)
	}
}

// compactTo puts the state as of an index in the place of the entries up to it.
func (r *Replica) compactTo(index ids.Index, state json.RawMessage) {
	config := r.node.env.Config
	batch := r.node.store.NewBatch()
	r.log.compact(batch, index, state, config.ConsensusRetainedEntries, config.ConsensusRetainedBytes)
	r.votersIndex = max(r.votersIndex, index)
	r.node.store.Submit(batch)
}
