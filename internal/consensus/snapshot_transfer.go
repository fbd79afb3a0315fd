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
	maxPackedSnapshotBytes = 128 << 20 // compressed size; bounds the receiver's buffer
	maxSnapshotBytes       = 1 << 30   // uncompressed size
)

// snapshotTransfer is a replica's state for taking, sending and receiving snapshots.
type snapshotTransfer struct {
	isCompacting bool            // a background task encodes the state
	inFlight     int             // snapshots being sent to members, or waiting for a slot
	lastPacked   *packedSnapshot // last snapshot sent, cached for other members
	incoming     *packedSnapshot // received part of a leader's snapshot; nil if none
}

// packedSnapshot is a snapshot as it is sent, or the received beginning of one: JSON compressed
// with deflate. The digest is the SHA-256 of the complete data.
type packedSnapshot struct {
	index  ids.Index
	term   ids.Term
	digest string
	data   []byte
}

func packSnapshot(snapshot *rpc.Snapshot) *packedSnapshot {
	var data bytes.Buffer
	writer, _ := flate.NewWriter(&data, flate.BestSpeed) // the error is for invalid levels only
	writer.Write(encodeRecord(snapshot))                 // writes to a bytes.Buffer don't fail
	writer.Close()
	return &packedSnapshot{index: snapshot.Index, term: snapshot.Term, digest: digestOf(data.Bytes()), data: data.Bytes()}
}

func digestOf(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// unpack checks and decodes a complete snapshot.
func (p *packedSnapshot) unpack() (*rpc.Snapshot, error) {
	if digest := digestOf(p.data); digest != p.digest {
		return nil, errcode.New(errcode.InvalidMessage, "snapshot %d: digest is %.8s, want %.8s", p.index, digest, p.digest)
	}
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(p.data)), maxSnapshotBytes))
	if err != nil {
		return nil, errcode.New(errcode.InvalidMessage, "snapshot %d: %v", p.index, err)
	}
	snapshot := &rpc.Snapshot{}
	if err := json.Unmarshal(raw, snapshot); err != nil {
		return nil, errcode.New(errcode.InvalidMessage, "snapshot %d: %v", p.index, err)
	}
	if snapshot.Index != p.index || snapshot.Term != p.term || len(snapshot.Voters) == 0 {
		return nil, errcode.New(errcode.InvalidMessage, "snapshot %d of term %s contains index %d of term %s, or no voters", p.index, p.term, snapshot.Index, snapshot.Term)
	}
	return snapshot, nil
}

// packCurrentSnapshot returns the current snapshot as it is sent. The result is cached for all
// members. The lock is not held while the snapshot is packed.
func (r *Replica) packCurrentSnapshot() *packedSnapshot {
	r.mu.Lock()
	snapshot, cached := r.log.snapshot, r.transfer.lastPacked
	r.mu.Unlock()
	if cached != nil && cached.index == snapshot.Index && cached.term == snapshot.Term {
		return cached
	}
	packed := packSnapshot(&snapshot)
	r.mu.Lock()
	r.transfer.lastPacked = packed
	r.mu.Unlock()
	return packed
}

// sendSnapshot sends the current snapshot to a member in chunks, skipping the part that the
// member already has. It returns the member's match index once the snapshot is installed.
func (r *Replica) sendSnapshot(ctx context.Context, term ids.Term, peer rpc.Peer) (match ids.Index, err error) {
	r.addInFlight(1)
	defer r.addInFlight(-1)
	slot := r.node.snapshotSlot(peer)
	select {
	case slot <- struct{}{}:
	case <-ctx.Done():
		return 0, ctx.Err()
	}
	defer func() { <-slot }()
	snapshot, offset := r.packCurrentSnapshot(), int64(0)
	size := int64(len(snapshot.data))
	for ctx.Err() == nil {
		address, ok := r.node.addressOf(peer)
		if !ok {
			return 0, errcode.New(errcode.Unreachable, "%s", peer.Name)
		}
		request := &rpc.SnapshotChunkRequest{
			Shard: r.shard, Term: term, From: r.node.self, Index: snapshot.index, SnapshotTerm: snapshot.term, Digest: snapshot.digest, Size: size,
			Offset: offset, Data: snapshot.data[offset:min(size, offset+int64(r.node.env.Config.ConsensusSnapshotChunkBytes))],
		}
		var response rpc.SnapshotChunkResponse
		err := r.node.call(ctx, appendTimeout, address, kindSnapshotChunk, request, &response)
		if err == nil && response.From == peer {
			r.node.recordReceived(peer)
		}
		switch {
		case err != nil:
			return 0, err
		case response.From != peer:
			return 0, errcode.New(errcode.Unreachable, "response to %s came from %s", peer.Name, response.From.Name)
		case term.Less(response.CurrentTerm):
			r.mu.Lock()
			r.stepDownForTerm(term, response.CurrentTerm)
			r.mu.Unlock()
			return 0, errcode.New(errcode.NotLeader, "shard %d", r.shard)
		case response.MatchIndex > 0:
			return response.MatchIndex, nil
		case response.Received < 0 || response.Received > size:
			return 0, errcode.New(errcode.InvalidMessage, "member reports %d bytes received of a snapshot of %d", response.Received, size)
		}
		if offset = response.Received; offset > 0 {
			r.recordSnapshotProgress(peer)
		}
	}
	return 0, ctx.Err()
}

func (r *Replica) addInFlight(n int) {
	r.mu.Lock()
	r.transfer.inFlight += n
	r.mu.Unlock()
}

// recordSnapshotProgress records that a member received a part of a snapshot, which counts as
// progress of a learner.
func (r *Replica) recordSnapshotProgress(peer rpc.Peer) {
	r.mu.Lock()
	r.leadership.progressOf(peer).lastAdvance = r.node.env.Now()
	r.mu.Unlock()
}

// snapshotSlot returns the semaphore for sending snapshots to a member. It limits them to one
// shard at a time, so that small messages can pass between two chunks on the member's link.
func (n *Node) snapshotSlot(peer rpc.Peer) chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.snapshotSlots[peer] == nil {
		n.snapshotSlots[peer] = make(chan struct{}, 1)
	}
	return n.snapshotSlots[peer]
}

// handleSnapshotChunk handles a leader's chunk. With the last chunk, it returns once the snapshot
// is installed and synced.
func (r *Replica) handleSnapshotChunk(request *rpc.SnapshotChunkRequest) (*rpc.SnapshotChunkResponse, error) {
	response, batch, err := r.acceptChunk(request)
	if err != nil || batch == nil {
		return response, err
	}
	return response, batch.Wait()
}

// acceptChunk adds a chunk and submits the returned batch. The batch is nil if there is nothing
// to wait for.
func (r *Replica) acceptChunk(request *rpc.SnapshotChunkRequest) (*rpc.SnapshotChunkResponse, *storage.Batch, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	response := &rpc.SnapshotChunkResponse{From: r.node.self, CurrentTerm: r.currentTerm}
	batch, err := r.acceptLeader(request.Term, request.From)
	if err != nil {
		return nil, nil, err
	}
	if batch == nil {
		return response, nil, nil
	}
	response.CurrentTerm = request.Term
	err = r.addChunk(batch, request, response)
	r.node.store.Submit(batch)
	if err != nil {
		r.transfer.incoming = nil
		r.logEvent(eventlog.MessageRejected, "kind", kindSnapshotChunk, "from", string(request.From.Name), "cause", err.Error())
		return nil, nil, err
	}
	return response, batch, nil
}

// addChunk appends a chunk to the received part of the snapshot, and installs the snapshot when
// it is complete. A chunk that does not start where the received part ends is ignored, and
// the response has the size of that part. The part is kept across a change of leader if the
// next leader sends the same snapshot.
func (r *Replica) addChunk(batch *storage.Batch, request *rpc.SnapshotChunkRequest, response *rpc.SnapshotChunkResponse) error {
	if request.Size <= 0 || request.Size > maxPackedSnapshotBytes || request.Offset < 0 || request.Offset+int64(len(request.Data)) > request.Size {
		return invalidMessageError(r.shard, "invalid snapshot chunk: %d bytes at offset %d of %d", len(request.Data), request.Offset, request.Size)
	}
	// A delayed snapshot must not replace entries that were synced after it.
	if request.Index <= r.log.committed || r.log.contains(request.Index, request.SnapshotTerm) {
		r.finishTransfer(request.Index, response)
		return nil
	}
	incoming := r.transfer.incoming
	if incoming == nil || incoming.digest != request.Digest || incoming.index != request.Index || incoming.term != request.SnapshotTerm {
		incoming = &packedSnapshot{index: request.Index, term: request.SnapshotTerm, digest: request.Digest}
		r.transfer.incoming = incoming
	}
	if request.Offset == int64(len(incoming.data)) {
		incoming.data = append(incoming.data, request.Data...)
	}
	response.Received = int64(len(incoming.data))
	if response.Received < request.Size {
		return nil
	}
	snapshot, err := incoming.unpack()
	if err != nil {
		return err
	}
	if err := r.installSnapshot(batch, snapshot); err != nil {
		return err
	}
	r.finishTransfer(snapshot.Index, response)
	return nil
}

// finishTransfer discards the received part, and sets the response's match index to the
// snapshot's.
func (r *Replica) finishTransfer(index ids.Index, response *rpc.SnapshotChunkResponse) {
	r.transfer.incoming = nil
	r.follower.matchIndex = max(r.follower.matchIndex, index)
	response.MatchIndex = index
}
