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
	// snapshotMost bounds what a member holds of a snapshot that is on its way, packed.
	snapshotMost = 128 << 20
	// unpackedMost bounds the snapshot itself.
	unpackedMost = 1 << 30
	// While a snapshot is sent, the log may grow to this many times its usual length,
	// so that it reaches the member without a gap.
	growWhileSending = 8
)

// packedSnapshot is a snapshot as it is sent.
type packedSnapshot struct {
	index  ids.Stamp
	term   ids.Term
	digest string
	data   []byte
}

// incoming is what a member has of a snapshot that is on its way.
type incoming struct {
	index  ids.Stamp
	term   ids.Term
	digest string
	data   []byte
}

// fold makes a snapshot when the log has grown long; the state is written out while
// the part goes on.
func (t *Part) fold() {
	most := t.p.r.Props.PactSnapshot
	if t.sending > 0 {
		most *= growWhileSending
	}
	if t.isFolding || int(t.applied-t.base.Index) < most {
		return
	}
	t.isFolding = true
	index, write := t.applied, t.machine.Capture()
	t.p.r.Go(func() {
		state, err := write()
		t.mu.Lock()
		defer t.mu.Unlock()
		t.isFolding = false
		if err == nil && index > t.base.Index && !t.p.r.IsOver() {
			t.compact(index, state)
		}
	})
}

// takeSnapshot makes a snapshot of what is folded now.
func (t *Part) takeSnapshot() {
	if state, err := t.machine.Capture()(); err == nil {
		t.compact(t.applied, state)
	}
}

// compact puts a snapshot in the place of the entries up to its index.
func (t *Part) compact(index ids.Stamp, state json.RawMessage) {
	term, _ := t.at(index)
	voters, _ := t.votersAsOf(index)
	w := t.p.store.Begin()
	folded := t.entries[:index-t.base.Index]
	for _, e := range folded {
		w.Delete(t.entryKey(e.Index))
	}
	t.keepTail(folded)
	t.entries = t.after(index)
	t.base = rpc.Snapshot{Index: index, Term: term, Group: voters.Current, Former: voters.Former, State: state}
	raw, _ := json.Marshal(t.base)
	w.Put(t.key("base"), raw)
	t.votersAt = max(t.votersAt, index)
	t.p.store.Hand(w)
}

// keepTail keeps the newest of the entries that a snapshot holds, by number and bytes.
func (t *Part) keepTail(folded []rpc.Entry) {
	all := append(append([]rpc.Entry(nil), t.tail...), folded...)
	first, size := len(all), 0
	for first > 0 && len(all)-first < t.p.r.Props.PactTail {
		if size += len(all[first-1].Body); size > t.p.r.Props.PactTailBytes {
			break
		}
		first--
	}
	t.tail = append([]rpc.Entry(nil), all[first:]...)
}

// entriesFrom is the entries from an index on, with the term of the one before; false
// if some of them are only in the snapshot.
func (t *Part) entriesFrom(next ids.Stamp) (prevTerm ids.Term, entries []rpc.Entry, isThere bool) {
	if next > t.base.Index {
		prevTerm, isThere = t.at(next - 1)
		return prevTerm, t.entries[next-1-t.base.Index:], isThere
	}
	first := t.base.Index + 1 - ids.Stamp(len(t.tail))
	if next <= first {
		return ids.Term{}, nil, false
	}
	below := t.tail[next-first:]
	return t.tail[next-1-first].Term, append(append([]rpc.Entry(nil), below...), t.entries...), true
}

// packed is the snapshot as it is sent, made once; the part's lock is not held.
func (t *Part) packed() *packedSnapshot {
	t.mu.Lock()
	base, kept := t.base, t.sent
	t.mu.Unlock()
	if kept != nil && kept.index == base.Index && kept.term == base.Term {
		return kept
	}
	raw, _ := json.Marshal(&base)
	made := packSnapshot(base.Index, base.Term, raw)
	t.mu.Lock()
	t.sent = made
	t.mu.Unlock()
	return made
}

func packSnapshot(index ids.Stamp, term ids.Term, raw []byte) *packedSnapshot {
	var data bytes.Buffer
	writer, _ := flate.NewWriter(&data, flate.BestSpeed)
	writer.Write(raw)
	writer.Close()
	sum := sha256.Sum256(data.Bytes())
	return &packedSnapshot{index: index, term: term, digest: hex.EncodeToString(sum[:]), data: data.Bytes()}
}

// sendSnapshot sends the snapshot to a member, from where it has it, and tells up to
// where the member's log is synced then.
func (t *Part) sendSnapshot(ctx context.Context, term ids.Term, peer rpc.Peer) (matched ids.Stamp, err error) {
	t.mu.Lock()
	t.sending++
	t.mu.Unlock()
	defer func() {
		t.mu.Lock()
		t.sending--
		t.mu.Unlock()
	}()
	turn := t.p.transferTo(peer)
	select {
	case turn <- struct{}{}:
	case <-ctx.Done():
		return 0, ctx.Err()
	}
	defer func() { <-turn }()
	snapshot, offset := t.packed(), int64(0)
	for ctx.Err() == nil {
		m, ok := t.p.k.View()[peer.Name]
		if !ok || m.Birth != peer.Birth {
			return 0, errcode.New(errcode.Unreached, "%s", peer.Name)
		}
		size := int64(len(snapshot.data))
		ask := &rpc.ChunkAsk{Part: t.no, Term: term, From: t.p.me, Index: snapshot.index, Of: snapshot.term, Digest: snapshot.digest, Size: size, Offset: offset}
		ask.Data = snapshot.data[offset:min(size, offset+int64(t.p.r.Props.PactChunk))]
		limited, end := context.WithTimeout(ctx, feedTime)
		var receipt rpc.ChunkReceipt
		err := t.p.w.Ask(limited, m.Wire, "pact.chunk", ask, &receipt)
		end()
		switch {
		case err != nil:
			return 0, err
		case receipt.From != peer:
			return 0, errcode.New(errcode.Unreached, "%s is %s now", peer.Name, receipt.From.Name)
		case term.Less(receipt.Promised):
			t.deposed(term, receipt.Promised)
			return 0, errcode.New(errcode.NotOwner, "part %d", t.no)
		case receipt.Match > 0:
			return receipt.Match, nil
		case receipt.Have < 0 || receipt.Have > size:
			return 0, errcode.New(errcode.BadMessage, "%d bytes of %d", receipt.Have, size)
		}
		if offset = receipt.Have; offset > 0 {
			t.noteProgress(peer)
		}
	}
	return 0, ctx.Err()
}

// transferTo is the turn for sending a member a snapshot: one part after another, so
// that what is small finds room on its link between two chunks.
func (p *Node) transferTo(peer rpc.Peer) chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.transfers[peer] == nil {
		p.transfers[peer] = make(chan struct{}, 1)
	}
	return p.transfers[peer]
}

// noteProgress notes that a member has got something new.
func (t *Part) noteProgress(peer rpc.Peer) {
	t.mu.Lock()
	t.progress[peer] = t.p.r.Now()
	t.mu.Unlock()
}

// deposed gives the part up to a higher term that a member promised.
func (t *Part) deposed(term, higher ids.Term) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.seen = max(t.seen, higher.Round)
	if t.promised == term {
		t.stepDown("a member promised a higher term")
	}
}

// acceptChunk takes a piece of a snapshot, and the snapshot when it is whole.
func (t *Part) acceptChunk(ask *rpc.ChunkAsk) (*rpc.ChunkReceipt, error) {
	t.mu.Lock()
	receipt := &rpc.ChunkReceipt{From: t.p.me, Promised: t.promised}
	if err := t.checkTerm(ask.Term, ask.From); err != nil {
		t.mu.Unlock()
		return nil, err
	}
	if ask.Term.Less(t.promised) {
		t.mu.Unlock()
		return receipt, nil
	}
	w := t.p.store.Begin()
	t.follow(w, ask.Term)
	receipt.Promised = ask.Term
	err := t.takeChunk(w, ask, receipt)
	// The promise that the batch may bear is in memory already.
	t.p.store.Hand(w)
	if err != nil {
		t.incoming = nil
		t.p.say(eventlog.MessageRefused, "kind", "pact.chunk", "part", int(t.no), "from", string(ask.From.Name), "cause", err.Error())
	}
	t.mu.Unlock()
	if err != nil {
		return nil, err
	}
	return receipt, w.Wait()
}

// takeChunk adds a chunk to what there is; one that does not fit is answered with how
// much is there.
func (t *Part) takeChunk(w *storage.Batch, ask *rpc.ChunkAsk, receipt *rpc.ChunkReceipt) error {
	if ask.Size <= 0 || ask.Size > snapshotMost || ask.Offset < 0 || ask.Offset+int64(len(ask.Data)) > ask.Size {
		return errcode.New(errcode.BadMessage, "part %d: chunk of %d bytes at %d of %d", t.no, len(ask.Data), ask.Offset, ask.Size)
	}
	if held := (&rpc.Snapshot{Index: ask.Index, Term: ask.Of}); ask.Index <= t.commit || t.contains(held) {
		t.incoming = nil
		receipt.Match = ask.Index
		t.matched = max(t.matched, ask.Index)
		return nil
	}
	if in := t.incoming; in == nil || in.digest != ask.Digest || in.index != ask.Index || in.term != ask.Of {
		t.incoming = &incoming{index: ask.Index, term: ask.Of, digest: ask.Digest}
	}
	in := t.incoming
	if ask.Offset == int64(len(in.data)) {
		in.data = append(in.data, ask.Data...)
	}
	receipt.Have = int64(len(in.data))
	if receipt.Have < ask.Size {
		return nil
	}
	snapshot, err := in.unpack()
	if err != nil {
		return err
	}
	if err := t.install(w, snapshot); err != nil {
		return err
	}
	t.incoming = nil
	receipt.Match = snapshot.Index
	t.matched = max(t.matched, snapshot.Index)
	return nil
}

// unpack checks the whole and reads it.
func (in *incoming) unpack() (*rpc.Snapshot, error) {
	sum := sha256.Sum256(in.data)
	if digest := hex.EncodeToString(sum[:]); digest != in.digest {
		return nil, errcode.New(errcode.BadMessage, "snapshot %d is damaged: its digest is %.8s, not %.8s", in.index, digest, in.digest)
	}
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(in.data)), unpackedMost))
	if err != nil {
		return nil, errcode.New(errcode.BadMessage, "snapshot %d: %v", in.index, err)
	}
	snapshot := &rpc.Snapshot{}
	if err := json.Unmarshal(raw, snapshot); err != nil {
		return nil, errcode.New(errcode.BadMessage, "snapshot %d: %v", in.index, err)
	}
	if snapshot.Index != in.index || snapshot.Term != in.term || len(snapshot.Group) == 0 {
		return nil, errcode.New(errcode.BadMessage, "snapshot %d of %s is another's: %d of %s", in.index, in.term, snapshot.Index, snapshot.Term)
	}
	return snapshot, nil
}
