// Snapshots: the log is folded into one when it has grown long, with the state written
// out while the part goes on; a tail of the entries before it is kept in memory, for
// members that are only a little behind. A member that lacks more gets the snapshot in
// chunks, one after another; it keeps what it has, so that a transfer goes on where it
// was broken off, also under another owner with the same snapshot. Nothing is taken
// over before the digest of the whole is right.
package consensus

import (
	"bytes"
	"compress/flate"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/eventlog"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
	"github.com/sumactrestle/sumactrestle/internal/storage"
)

const (
	// maxPackedSnapshot bounds what a member holds of a snapshot that is on its way, packed.
	maxPackedSnapshot = 128 << 20
	// maxSnapshot bounds the snapshot itself.
	maxSnapshot = 1 << 30
	// While a snapshot is sent, the log may grow to this many times its usual length,
	// so that it reaches the member without a gap.
	logGrowthWhileSending = 8
)

// packedSnapshot is a snapshot as it is sent.
type packedSnapshot struct {
	index  ids.Index
	term   ids.Term
	digest string
	data   []byte
}

// incomingSnapshot is what a member has of a snapshot that is on its way.
type incomingSnapshot struct {
	index  ids.Index
	term   ids.Term
	digest string
	data   []byte
}

// maybeCompact makes a snapshot when the log has grown long; the state is written out while
// the part goes on.
func (r *Replica) maybeCompact() {
	threshold := r.node.env.Config.PactSnapshot
	if r.snapshotsInFlight > 0 {
		threshold *= logGrowthWhileSending
	}
	if r.isCompacting || int(r.appliedIndex-r.snapshot.Index) < threshold {
		return
	}
	r.isCompacting = true
	index, encode := r.appliedIndex, r.stateMachine.Snapshot()
	r.node.env.Go(func() {
		state, err := encode()
		r.mu.Lock()
		defer r.mu.Unlock()
		r.isCompacting = false
		if err == nil && index > r.snapshot.Index && !r.node.env.IsStopping() {
			r.compact(index, state)
		}
	})
}

// takeSnapshot makes a snapshot of what is folded now.
func (r *Replica) takeSnapshot() {
	if state, err := r.stateMachine.Snapshot()(); err == nil {
		r.compact(r.appliedIndex, state)
	}
}

// compact puts a snapshot in the place of the entries up to its index.
func (r *Replica) compact(index ids.Index, state json.RawMessage) {
	term, _ := r.termAt(index)
	voters, _ := r.votersAsOf(index)
	batch := r.node.store.NewBatch()
	compacted := r.entries[:index-r.snapshot.Index]
	for _, e := range compacted {
		batch.Delete(r.entryKey(e.Index))
	}
	r.retainTail(compacted)
	r.entries = r.entriesAfter(index)
	r.snapshot = rpc.Snapshot{Index: index, Term: term, Voters: voters.Current, OutgoingVoters: voters.Outgoing, State: state}
	raw, _ := json.Marshal(r.snapshot)
	batch.Put(r.key("base"), raw)
	r.votersIndex = max(r.votersIndex, index)
	r.node.store.Submit(batch)
}

// retainTail keeps the newest of the entries that a snapshot holds, by number and bytes.
func (r *Replica) retainTail(compacted []rpc.Entry) {
	candidates := append(append([]rpc.Entry(nil), r.retained...), compacted...)
	start, size := len(candidates), 0
	for start > 0 && len(candidates)-start < r.node.env.Config.PactTail {
		if size += len(candidates[start-1].Body); size > r.node.env.Config.PactTailBytes {
			break
		}
		start--
	}
	r.retained = append([]rpc.Entry(nil), candidates[start:]...)
}

// entriesFrom is the entries from an index on, with the term of the one before; false
// if some of them are only in the snapshot.
func (r *Replica) entriesFrom(next ids.Index) (prevTerm ids.Term, entries []rpc.Entry, isThere bool) {
	if next > r.snapshot.Index {
		prevTerm, isThere = r.termAt(next - 1)
		return prevTerm, r.entries[next-1-r.snapshot.Index:], isThere
	}
	first := r.snapshot.Index + 1 - ids.Index(len(r.retained))
	if next <= first {
		return ids.Term{}, nil, false
	}
	below := r.retained[next-first:]
	return r.retained[next-1-first].Term, append(append([]rpc.Entry(nil), below...), r.entries...), true
}

// packSnapshot is the snapshot as it is sent, made once; the part's lock is not held.
func (r *Replica) packSnapshot() *packedSnapshot {
	r.mu.Lock()
	base, cached := r.snapshot, r.packedSnapshot
	r.mu.Unlock()
	if cached != nil && cached.index == base.Index && cached.term == base.Term {
		return cached
	}
	raw, _ := json.Marshal(&base)
	packed := newPackedSnapshot(base.Index, base.Term, raw)
	r.mu.Lock()
	r.packedSnapshot = packed
	r.mu.Unlock()
	return packed
}

func newPackedSnapshot(index ids.Index, term ids.Term, raw []byte) *packedSnapshot {
	var data bytes.Buffer
	writer, _ := flate.NewWriter(&data, flate.BestSpeed)
	writer.Write(raw)
	writer.Close()
	sum := sha256.Sum256(data.Bytes())
	return &packedSnapshot{index: index, term: term, digest: hex.EncodeToString(sum[:]), data: data.Bytes()}
}

// sendSnapshot sends the snapshot to a member, from where it has it, and tells up to
// where the member's log is synced then.
func (r *Replica) sendSnapshot(ctx context.Context, term ids.Term, peer rpc.Peer) (matched ids.Index, err error) {
	r.mu.Lock()
	r.snapshotsInFlight++
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		r.snapshotsInFlight--
		r.mu.Unlock()
	}()
	slot := r.node.snapshotSlot(peer)
	select {
	case slot <- struct{}{}:
	case <-ctx.Done():
		return 0, ctx.Err()
	}
	defer func() { <-slot }()
	snapshot, offset := r.packSnapshot(), int64(0)
	for ctx.Err() == nil {
		m, ok := r.node.members.View()[peer.Name]
		if !ok || m.ID != peer.ID {
			return 0, errcode.New(errcode.Unreached, "%s", peer.Name)
		}
		size := int64(len(snapshot.data))
		request := &rpc.SnapshotChunkRequest{Shard: r.shard, Term: term, From: r.node.self, Index: snapshot.index, SnapshotTerm: snapshot.term, Digest: snapshot.digest, Size: size, Offset: offset}
		request.Data = snapshot.data[offset:min(size, offset+int64(r.node.env.Config.PactChunk))]
		limited, end := context.WithTimeout(ctx, appendTimeout)
		var response rpc.SnapshotChunkResponse
		err := r.node.transport.Call(limited, m.RPCAddress, "pact.chunk", request, &response)
		end()
		switch {
		case err != nil:
			return 0, err
		case response.From != peer:
			return 0, errcode.New(errcode.Unreached, "%s is %s now", peer.Name, response.From.Name)
		case term.Less(response.CurrentTerm):
			r.stepDownForTerm(term, response.CurrentTerm)
			return 0, errcode.New(errcode.NotOwner, "part %d", r.shard)
		case response.MatchIndex > 0:
			return response.MatchIndex, nil
		case response.Received < 0 || response.Received > size:
			return 0, errcode.New(errcode.BadMessage, "%d bytes of %d", response.Received, size)
		}
		if offset = response.Received; offset > 0 {
			r.recordProgress(peer)
		}
	}
	return 0, ctx.Err()
}

// snapshotSlot is the turn for sending a member a snapshot: one part after another, so
// that what is small finds room on its link between two chunks.
func (n *Node) snapshotSlot(peer rpc.Peer) chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.snapshotSlots[peer] == nil {
		n.snapshotSlots[peer] = make(chan struct{}, 1)
	}
	return n.snapshotSlots[peer]
}

// recordProgress notes that a member has got something new.
func (r *Replica) recordProgress(peer rpc.Peer) {
	r.mu.Lock()
	r.lastProgress[peer] = r.node.env.Now()
	r.mu.Unlock()
}

// stepDownForTerm gives the part up to a higher term that a member promised.
func (r *Replica) stepDownForTerm(term, higher ids.Term) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.highestTermNumber = max(r.highestTermNumber, higher.Number)
	if r.currentTerm == term {
		r.stepDown("a member promised a higher term")
	}
}

// handleSnapshotChunk takes a piece of a snapshot, and the snapshot when it is whole.
func (r *Replica) handleSnapshotChunk(request *rpc.SnapshotChunkRequest) (*rpc.SnapshotChunkResponse, error) {
	r.mu.Lock()
	response := &rpc.SnapshotChunkResponse{From: r.node.self, CurrentTerm: r.currentTerm}
	if err := r.checkTerm(request.Term, request.From); err != nil {
		r.mu.Unlock()
		return nil, err
	}
	if request.Term.Less(r.currentTerm) {
		r.mu.Unlock()
		return response, nil
	}
	batch := r.node.store.NewBatch()
	r.becomeFollower(batch, request.Term)
	response.CurrentTerm = request.Term
	err := r.addChunk(batch, request, response)
	// The promise that the batch may bear is in memory already.
	r.node.store.Submit(batch)
	if err != nil {
		r.incomingSnapshot = nil
		r.node.log(eventlog.MessageRefused, "kind", "pact.chunk", "part", int(r.shard), "from", string(request.From.Name), "cause", err.Error())
	}
	r.mu.Unlock()
	if err != nil {
		return nil, err
	}
	return response, batch.Wait()
}

// addChunk adds a chunk to what there is; one that does not fit is answered with how
// much is there.
func (r *Replica) addChunk(batch *storage.Batch, request *rpc.SnapshotChunkRequest, response *rpc.SnapshotChunkResponse) error {
	if request.Size <= 0 || request.Size > maxPackedSnapshot || request.Offset < 0 || request.Offset+int64(len(request.Data)) > request.Size {
		return errcode.New(errcode.BadMessage, "part %d: chunk of %d bytes at %d of %d", r.shard, len(request.Data), request.Offset, request.Size)
	}
	if held := (&rpc.Snapshot{Index: request.Index, Term: request.SnapshotTerm}); request.Index <= r.commitIndex || r.hasSnapshotEntry(held) {
		r.incomingSnapshot = nil
		response.MatchIndex = request.Index
		r.leaderMatchIndex = max(r.leaderMatchIndex, request.Index)
		return nil
	}
	if in := r.incomingSnapshot; in == nil || in.digest != request.Digest || in.index != request.Index || in.term != request.SnapshotTerm {
		r.incomingSnapshot = &incomingSnapshot{index: request.Index, term: request.SnapshotTerm, digest: request.Digest}
	}
	in := r.incomingSnapshot
	if request.Offset == int64(len(in.data)) {
		in.data = append(in.data, request.Data...)
	}
	response.Received = int64(len(in.data))
	if response.Received < request.Size {
		return nil
	}
	snapshot, err := in.unpack()
	if err != nil {
		return err
	}
	if err := r.installSnapshot(batch, snapshot); err != nil {
		return err
	}
	r.incomingSnapshot = nil
	response.MatchIndex = snapshot.Index
	r.leaderMatchIndex = max(r.leaderMatchIndex, snapshot.Index)
	return nil
}

// unpack checks the whole and reads it.
func (in *incomingSnapshot) unpack() (*rpc.Snapshot, error) {
	sum := sha256.Sum256(in.data)
	if digest := hex.EncodeToString(sum[:]); digest != in.digest {
		return nil, errcode.New(errcode.BadMessage, "snapshot %d is damaged: its digest is %.8s, not %.8s", in.index, digest, in.digest)
	}
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(in.data)), maxSnapshot))
	if err != nil {
		return nil, errcode.New(errcode.BadMessage, "snapshot %d: %v", in.index, err)
	}
	snapshot := &rpc.Snapshot{}
	if err := json.Unmarshal(raw, snapshot); err != nil {
		return nil, errcode.New(errcode.BadMessage, "snapshot %d: %v", in.index, err)
	}
	if snapshot.Index != in.index || snapshot.Term != in.term || len(snapshot.Voters) == 0 {
		return nil, errcode.New(errcode.BadMessage, "snapshot %d of %s is another's: %d of %s", in.index, in.term, snapshot.Index, snapshot.Term)
	}
	return snapshot, nil
}
