// One part on one member, driven by messages as they come over the wire: what is
// damaged, late or skips a step is refused by a numbered event and changes nothing.
package consensus

import (
	"context"
	"encoding/json"
	"io"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	leveldbstorage "github.com/syndtr/goleveldb/leveldb/storage"

	"github.com/sumactrestle/sumactrestle/internal/config"
	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/eventlog"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
	"github.com/sumactrestle/sumactrestle/internal/storage"
)

// notes is a machine that keeps the bodies of its entries.
type notes struct{ all []string }

func (n *notes) Apply(_ ids.Stamp, body json.RawMessage) any {
	n.all = append(n.all, string(body))
	return nil
}
func (n *notes) Capture() func() (json.RawMessage, error) {
	all := slices.Clone(n.all)
	return func() (json.RawMessage, error) { return json.Marshal(all) }
}
func (n *notes) Load(state json.RawMessage) error {
	var all []string
	if err := json.Unmarshal(state, &all); err != nil {
		return err
	}
	n.all = all
	return nil
}

// onMember runs a test on member A of a part whose first group is A, B and C.
func onMember(t *testing.T, play func(t *testing.T, part *Part, machine *notes)) {
	synctest.Test(t, func(t *testing.T) {
		p, err := config.Load("", map[string]string{"name": "core-A", "zone": "z", "wire.address": "10.0.0.1:7000", "api.address": "10.0.0.1:7001", "data.folder": "/part", "seeds": "10.0.0.2:7000"})
		if err != nil {
			t.Fatal(err)
		}
		disk := leveldbstorage.NewMemStorage()
		r := environment.New(context.Background(), p, eventlog.New(io.Discard, "debug", "core-A"), environment.Net{Store: func(string) (leveldbstorage.Storage, error) { return disk, nil }})
		defer time.Sleep(time.Minute) // of virtual time: the store closes behind its last task
		defer r.End()
		store, err := storage.Open(r)
		if err != nil {
			t.Fatal(err)
		}
		machine := &notes{}
		node := &Node{r: r, store: store, me: peers("A")[0], owners: map[ids.Part]claimed{}}
		part := newPart(node, 0, machine)
		node.parts = []*Part{part}
		part.base.Group = peers("ABC")
		part.refreshVoters()
		play(t, part, machine)
	})
}

func term(round uint64) ids.Term { return ids.Term{Round: round, Node: "core-B"} }

func appendOf(round uint64, prev ids.Stamp, entries ...rpc.Entry) *rpc.AppendAsk {
	ask := &rpc.AppendAsk{Term: term(round), From: peers("B")[0], Prev: prev}
	if prev > 0 {
		ask.PrevTerm = term(round)
	}
	for i := range entries {
		entries[i].Index, entries[i].Term = prev+1+ids.Stamp(i), term(round)
	}
	ask.Entries = entries
	return ask
}

func write(body string) rpc.Entry { return rpc.Entry{Body: json.RawMessage(body)} }

func group(current, former string) rpc.Entry {
	return rpc.Entry{Kind: groupEntry, Group: peers(current), Former: peers(former)}
}

// refused demands that a message is refused by an event, and changes nothing.
func refused(t *testing.T, part *Part, machine *notes, what string, send func() error) {
	t.Helper()
	before, had := part.Status(), len(machine.all)
	counted := part.p.r.Sign.Counts()["MessageRefused"]
	if err := send(); err == nil {
		t.Errorf("%s: taken", what)
	}
	if part.p.r.Sign.Counts()["MessageRefused"] != counted+1 {
		t.Errorf("%s: no event tells of it", what)
	}
	if after := part.Status(); !cmp.Equal(before, after) || len(machine.all) != had {
		t.Errorf("%s changed the part: %s", what, cmp.Diff(before, after))
	}
}

func TestEntriesThatSkipAStepChangeNothing(t *testing.T) {
	onMember(t, func(t *testing.T, part *Part, machine *notes) {
		if _, err := part.accept(appendOf(3, 0, rpc.Entry{Kind: ownEntry}, write(`1`))); err != nil {
			t.Fatal(err)
		}
		late := write(`2`)
		gap := appendOf(3, 2, write(`2`), write(`3`))
		gap.Entries[1].Index = 9
		for what, ask := range map[string]*rpc.AppendAsk{
			"two members at once without the joint step": appendOf(3, 2, group("ABD", "")),
			"a joint step from another group":            appendOf(3, 2, group("ABD", "ABE")),
			"a joint step that is followed by another":   appendOf(3, 2, group("ABD", "ABC"), group("ABE", "ABD")),
			"a change that ends in another group":        appendOf(3, 2, group("ABD", "ABC"), late, group("ABE", "")),
			"nobody":                                     appendOf(3, 2, group("", "")),
			"a gap":                                      gap,
		} {
			refused(t, part, machine, what, func() error { _, err := part.accept(ask); return err })
		}
		if _, err := part.accept(appendOf(3, 2, group("ABD", "ABC"), write(`2`), group("ABD", ""))); err != nil {
			t.Errorf("a whole change is refused: %v", err)
		}
	})
}

func TestSnapshotsThatCantBeReadChangeNothing(t *testing.T) {
	onMember(t, func(t *testing.T, part *Part, machine *notes) {
		if _, err := part.accept(appendOf(3, 0, rpc.Entry{Kind: ownEntry}, write(`1`))); err != nil {
			t.Fatal(err)
		}
		good := rpc.Snapshot{Index: 9, Term: term(3), Group: peers("ABC"), State: json.RawMessage(`["1","2"]`)}
		for what, change := range map[string]func(s *rpc.Snapshot, ask *rpc.ChunkAsk){
			"a foreign state":        func(s *rpc.Snapshot, _ *rpc.ChunkAsk) { s.State = json.RawMessage(`{"foreign":true}`) },
			"a snapshot of nobody":   func(s *rpc.Snapshot, _ *rpc.ChunkAsk) { s.Group = nil },
			"another's index":        func(_ *rpc.Snapshot, ask *rpc.ChunkAsk) { ask.Index = 8 },
			"a wrong digest":         func(_ *rpc.Snapshot, ask *rpc.ChunkAsk) { ask.Digest = "00" },
			"a byte turned":          func(_ *rpc.Snapshot, ask *rpc.ChunkAsk) { ask.Data[len(ask.Data)/2] ^= 1 },
			"more than was said":     func(_ *rpc.Snapshot, ask *rpc.ChunkAsk) { ask.Size-- },
			"a size out of bounds":   func(_ *rpc.Snapshot, ask *rpc.ChunkAsk) { ask.Size = snapshotMost + 1 },
			"an offset below zero":   func(_ *rpc.Snapshot, ask *rpc.ChunkAsk) { ask.Offset = -1 },
			"a term from the future": func(_ *rpc.Snapshot, ask *rpc.ChunkAsk) { ask.Term = term(1 << 60) },
		} {
			snapshot := good
			ask := &rpc.ChunkAsk{Data: make([]byte, 3)}
			change(&snapshot, ask)
			chunk := chunksOf(&snapshot, 1<<20)[0]
			change(&snapshot, chunk)
			refused(t, part, machine, what, func() error { _, err := part.acceptChunk(chunk); return err })
		}
		part.mu.Lock()
		defer part.mu.Unlock()
		if len(part.entries) != 2 {
			t.Errorf("%d entries are left of 2", len(part.entries))
		}
	})
}

// chunksOf cuts a snapshot as an owner under its term would send it.
func chunksOf(snapshot *rpc.Snapshot, size int) (asks []*rpc.ChunkAsk) {
	raw, _ := json.Marshal(snapshot)
	packed := packSnapshot(snapshot.Index, snapshot.Term, raw)
	for offset := 0; offset < len(packed.data); offset += size {
		data := slices.Clone(packed.data[offset:min(len(packed.data), offset+size)])
		asks = append(asks, &rpc.ChunkAsk{Term: snapshot.Term, From: peers("B")[0], Index: packed.index, Of: packed.term, Digest: packed.digest, Size: int64(len(packed.data)), Offset: int64(offset), Data: data})
	}
	return asks
}

func TestChunksOutOfOrderAreTakenOnce(t *testing.T) {
	onMember(t, func(t *testing.T, part *Part, machine *notes) {
		chunks := chunksOf(&rpc.Snapshot{Index: 9, Term: term(3), Group: peers("ABC"), State: json.RawMessage(`["1","2","3"]`)}, 20)
		send := func(i int) *rpc.ChunkReceipt {
			receipt, err := part.acceptChunk(chunks[i])
			if err != nil {
				t.Fatal(i, err)
			}
			return receipt
		}
		last := len(chunks) - 1
		if got := send(last); got.Have != 0 || got.Match != 0 {
			t.Errorf("the last chunk alone: %+v", got)
		}
		for _, i := range []int{0, 2, 0, 1, 1} {
			send(i)
		}
		if got := send(0); got.Have != 40 {
			t.Errorf("%d bytes are there of 40", got.Have)
		}
		// Another owner with the same snapshot goes on where the first one was.
		for _, chunk := range chunks[2:] {
			chunk.Term = term(5)
		}
		for i := 2; i < last; i++ {
			send(i)
		}
		if got := send(last); got.Match != 9 || len(machine.all) != 3 {
			t.Errorf("%+v, state %q", got, machine.all)
		}
		if got := send(last); got.Match != 9 {
			t.Errorf("what is there already: %+v", got)
		}
	})
}

func TestMessagesOutOfOrderChangeNothing(t *testing.T) {
	onMember(t, func(t *testing.T, part *Part, machine *notes) {
		if _, err := part.accept(appendOf(3, 0, rpc.Entry{Kind: ownEntry})); err != nil {
			t.Fatal(err)
		}
		future := appendOf(1<<60, 1, write(`1`))
		refused(t, part, machine, "an entry from the future", func() error { _, err := part.accept(future); return err })
		refused(t, part, machine, "a candidate from the future", func() error {
			_, err := part.promise(&rpc.PromiseAsk{Term: term(1 << 60), From: peers("B")[0]})
			return err
		})
		if part.isInvitedBy(&rpc.InviteAsk{Term: term(2)}) || !part.isInvitedBy(&rpc.InviteAsk{Term: term(3)}) {
			t.Error("an invitation counts that is not of the term in force")
		}
		receipt, err := part.accept(appendOf(2, 1, write(`1`)))
		if err != nil || receipt.Ok || receipt.Promised != term(3) {
			t.Errorf("an entry of an old term: %+v, %v", receipt, err)
		}
	})
}

// TestARefusedSnapshotLosesNoPromise: the promise that comes with it must be on disk,
// or the entries of that term would stand above what a restart finds.
func TestARefusedSnapshotLosesNoPromise(t *testing.T) {
	onMember(t, func(t *testing.T, part *Part, machine *notes) {
		ask := chunksOf(&rpc.Snapshot{Index: 9, Term: term(4), Group: peers("ABC"), State: json.RawMessage(`7`)}, 1<<20)[0]
		if _, err := part.acceptChunk(ask); err == nil {
			t.Fatal("a foreign snapshot is taken")
		}
		if _, err := part.accept(appendOf(4, 0, rpc.Entry{Kind: ownEntry})); err != nil {
			t.Fatal(err)
		}
		again := newPart(part.p, 0, &notes{})
		if err := again.load(); err != nil {
			t.Error(err)
		}
	})
}

func TestARemovedMemberIsToldAndRests(t *testing.T) {
	onMember(t, func(t *testing.T, part *Part, machine *notes) {
		ask := appendOf(3, 0, rpc.Entry{Kind: ownEntry}, group("ABD", "ABC"), group("ABD", ""))
		if _, err := part.accept(ask); err != nil {
			t.Fatal(err)
		}
		part.heard = time.Time{}
		stale := &rpc.PromiseAsk{Term: term(9), From: peers("C")[0], Last: 1, LastTerm: term(3)}
		if receipt, err := part.promise(stale); err != nil || receipt.Outside || !receipt.Granted {
			t.Fatalf("a change that is not known to be committed shut a member out: %+v, %v", receipt, err)
		}
		again := appendOf(10, 3)
		again.PrevTerm, again.Commit = term(3), 3
		if _, err := part.accept(again); err != nil {
			t.Fatal(err)
		}
		before := part.Status().Promised
		stale.Term = term(20)
		if receipt, err := part.promise(stale); err != nil || receipt.Granted || !receipt.Outside {
			t.Errorf("a removed member is promised to: %+v, %v", receipt, err)
		}
		if part.Status().Promised != before {
			t.Error("its term ends the owner's")
		}
		ahead := &rpc.PromiseAsk{Term: term(21), From: peers("C")[0], Last: 9, LastTerm: term(12)}
		part.heard = time.Time{}
		if receipt, err := part.promise(ahead); err != nil || !receipt.Granted {
			t.Errorf("one that may have been put back since is shut out: %+v, %v", receipt, err)
		}
		part.noteOutside(true)
		if !part.isOutside || part.p.r.Sign.Counts()["MemberRemoved"] != 1 {
			t.Error("a member that was told does not rest")
		}
	})
}
