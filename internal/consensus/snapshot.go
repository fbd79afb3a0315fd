package consensus

import (
	"encoding/json"

	"github.com/sumactrestle/sumactrestle/internal/ids"
)

// logGrowthFactorWhileSending multiplies the log length that triggers compaction while a snapshot
// is being sent, so that the entries after it are still in the log when the transfer ends.
const logGrowthFactorWhileSending = 8

// maybeCompact takes a snapshot if the log has reached the length that triggers compaction. The
// state is captured at once and encoded in the background while further entries are applied.
func (r *Replica) maybeCompact() {
	threshold := r.node.env.Config.ConsensusSnapshotEntries
	if r.transfer.inFlight > 0 {
		threshold *= logGrowthFactorWhileSending
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

// compactNow takes a snapshot at the applied index, without a background task.
func (r *Replica) compactNow() {
	if state, err := r.stateMachine.Snapshot()(); err == nil {
		r.compactTo(r.log.applied, state)
	}
}

// compactTo replaces the entries up to an index by a snapshot with the state at that index.
func (r *Replica) compactTo(index ids.Index, state json.RawMessage) {
	config := r.node.env.Config
	batch := r.node.store.NewBatch()
	r.log.compact(batch, index, state, config.ConsensusRetainedEntries, config.ConsensusRetainedBytes)
	r.votersIndex = max(r.votersIndex, index)
	r.node.store.Submit(batch)
}
