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
	// maxSnapshot bounds the snapshot itself, unpacked.
	maxSnapshot = 1 << 30
)

// snapshotTransfer is what a replica has to do with snapshots, as sender and as receiver.
type snapshotTransfer struct {
	isCompacting bool            // the state is being encoded
	inFlight     int             // snapshots on their way to members
	packed       *packedSnapshot // the one that was sent last, kept for the next member
	incoming     *packedSnapshot // what has arrived of one from the leader
}

// packedSnapshot is a snapshot, or the beginning of one, as it is sent: JSON under deflate.
// The digest is the SHA-256 of all of its data.
type packedSnapshot struct {
	index  ids.Index
	term   ids.Term
	digest string
	data   []byte
}

func packSnapshot(snapshot *rpc.Snapshot) *packedSnapshot {
	var data bytes.Buffer
	writer, _ := flate.NewWriter(&data, flate.BestSpeed) // the level is a valid one
	writer.Write(encodeRecord(snapshot))                 // a buffer takes everything
	writer.Close()
	return &packedSnapshot{index: snapshot.Index, term: snapshot.Term, digest: digestOf(data.Bytes()), data: data.Bytes()}
}

func digestOf(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// unpack checks a snapshot that is complete, and decodes it.
func (p *packedSnapshot) unpack() (*rpc.Snapshot, error) {
	if digest := digestOf(p.data); digest != p.digest {
		return nil, errcode.New(errcode.InvalidMessage, "snapshot %d is damaged: its digest is %.8s, not %.8s", p.index, digest, p.digest)
	}
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(p.data)), maxSnapshot))
	if err != nil {
		return nil, errcode.New(errcode.InvalidMessage, "snapshot %d: %v", p.index, err)
	}
	snapshot := &rpc.Snapshot{}
	if err := json.Unmarshal(raw, snapshot); err != nil {
		return nil, errcode.New(errcode.InvalidMessage, "snapshot %d: %v", p.index, err)
	}
	if snapshot.Index != p.index || snapshot.Term != p.term || len(snapshot.Voters) == 0 {
		return nil, errcode.New(errcode.InvalidMessage, "snapshot %d of %s is another's: %d of %s", p.index, p.term, snapshot.Index, snapshot.Term)
	}
	return snapshot, nil
}

// packedCurrent is the current snapshot as it is sent, packed once for all members. The
// lock is not held while it is packed.
func (r *Replica) packedCurrent() *packedSnapshot {
	r.mu.Lock()
	snapshot, cached := r.log.snapshot, r.transfer.packed
	r.mu.Unlock()
	if cached != nil && cached.index == snapshot.Index && cached.term == snapshot.Term {
		return cached
	}
	packed := packSnapshot(&snapshot)
	r.mu.Lock()
	r.transfer.packed = packed
	r.mu.Unlock()
	return packed
}

// sendSnapshot sends the snapshot to a member in chunks, beginning with what it lacks of
// it, and returns up to where the member's log is synced then.
func (r *Replica) sendSnapshot(ctx context.Context, term ids.Term, peer rpc.Peer) (match ids.Index, err error) {
	r.countTransfer(1)
	defer r.countTransfer(-1)
	slot := r.node.snapshotSlot(peer)
	select {
	case slot <- struct{}{}:
	case <-ctx.Done():
		return 0, ctx.Err()
	}
	defer func() { <-slot }()
	snapshot, offset := r.packedCurrent(), int64(0)
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
			return 0, errcode.New(errcode.Unreachable, "%s is %s now", peer.Name, response.From.Name)
		case term.Less(response.CurrentTerm):
			r.mu.Lock()
			r.stepDownForTerm(term, response.CurrentTerm)
			r.mu.Unlock()
			return 0, errcode.New(errcode.NotLeader, "shard %d", r.shard)
		case response.MatchIndex > 0:
			return response.MatchIndex, nil
		case response.Received < 0 || response.Received > size:
			return 0, errcode.New(errcode.InvalidMessage, "%d bytes of %d", response.Received, size)
		}
		if offset = response.Received; offset > 0 {
			r.recordAdvance(peer)
		}
	}
	return 0, ctx.Err()
}

func (r *Replica) countTransfer(n int) {
	r.mu.Lock()
	r.transfer.inFlight += n
	r.mu.Unlock()
}

// recordAdvance notes that a member took a part of a snapshot.
func (r *Replica) recordAdvance(peer rpc.Peer) {
	r.mu.Lock()
	r.leadership.progressOf(peer).lastAdvance = r.node.env.Now()
	r.mu.Unlock()
}

// snapshotSlot is the turn to send a member a snapshot: one shard at a time, so that small
// messages find room on its link between two chunks.
func (n *Node) snapshotSlot(peer rpc.Peer) chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.snapshotSlots[peer] == nil {
		n.snapshotSlots[peer] = make(chan struct{}, 1)
	}
	return n.snapshotSlots[peer]
}

// handleSnapshotChunk answers a leader's chunk; what is complete is installed and synced first.
func (r *Replica) handleSnapshotChunk(request *rpc.SnapshotChunkRequest) (*rpc.SnapshotChunkResponse, error) {
	response, batch, err := r.acceptChunk(request)
	if err != nil || batch == nil {
		return response, err
	}
	return response, batch.Wait()
}

// acceptChunk takes a chunk. The batch is submitted; none means that nothing is to be
// waited for.
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

// addChunk adds a chunk to what has arrived, and installs the snapshot when that is all
// of it. A chunk that does not follow is answered with how much is there. What has
// arrived is kept over a change of leaders, as long as the next one sends the same.
func (r *Replica) addChunk(batch *storage.Batch, request *rpc.SnapshotChunkRequest, response *rpc.SnapshotChunkResponse) error {
	if request.Size <= 0 || request.Size > maxPackedSnapshot || request.Offset < 0 || request.Offset+int64(len(request.Data)) > request.Size {
		return rejected(r.shard, "chunk of %d bytes at %d of %d", len(request.Data), request.Offset, request.Size)
	}
	// A snapshot that comes late must not replace what was synced since.
	if request.Index <= r.log.committed || r.log.contains(request.Index, request.SnapshotTerm) {
		r.finishTransfer(request.Index, response)
		return nil
	}
	in := r.transfer.incoming
	if in == nil || in.digest != request.Digest || in.index != request.Index || in.term != request.SnapshotTerm {
		in = &packedSnapshot{index: request.Index, term: request.SnapshotTerm, digest: request.Digest}
		r.transfer.incoming = in
	}
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
	r.finishTransfer(snapshot.Index, response)
	return nil
}

// finishTransfer answers that the log is synced up to a snapshot's index.
func (r *Replica) finishTransfer(index ids.Index, response *rpc.SnapshotChunkResponse) {
	r.transfer.incoming = nil
	r.follower.matchIndex = max(r.follower.matchIndex, index)
	response.MatchIndex = index
}
