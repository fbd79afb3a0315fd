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

// recordingMachine is a machine that keeps the bodies of its entries.
type recordingMachine struct{ commands []string }

func (n *recordingMachine) Apply(_ ids.Index, body json.RawMessage) any {
	n.commands = append(n.commands, string(body))
	return nil
}
func (n *recordingMachine) Snapshot() func() (json.RawMessage, error) {
	all := slices.Clone(n.commands)
	return func() (json.RawMessage, error) { return json.Marshal(all) }
}
func (n *recordingMachine) Restore(state json.RawMessage) error {
	var all []string
	if err := json.Unmarshal(state, &all); err != nil {
		return err
	}
	n.commands = all
	return nil
}

// runReplica runs a test on member A of a part whose first group is A, B and C.
func runReplica(t *testing.T, play func(t *testing.T, part *Replica, machine *recordingMachine)) {
	synctest.Test(t, func(t *testing.T) {
		p, err := config.Load("", map[string]string{"name": "core-A", "zone": "z", "wire.address": "10.0.0.1:7000", "api.address": "10.0.0.1:7001", "data.folder": "/part", "seeds": "10.0.0.2:7000"})
		if err != nil {
			t.Fatal(err)
		}
		disk := leveldbstorage.NewMemStorage()
		r := environment.New(context.Background(), p, eventlog.New(io.Discard, "debug", "core-A"), environment.Host{OpenStorage: func(string) (leveldbstorage.Storage, error) { return disk, nil }})
		defer time.Sleep(time.Minute) // of virtual time: the store closes behind its last task
		defer r.Shutdown()
		store, err := storage.Open(r)
		if err != nil {
			t.Fatal(err)
		}
		machine := &recordingMachine{}
		node := &Node{env: r, store: store, self: peers("A")[0], leaders: map[ids.Shard]leaderRecord{}}
		part := newReplica(node, 0, machine)
		node.replicas = []*Replica{part}
		part.snapshot.Voters = peers("ABC")
		part.updateVoters()
		play(t, part, machine)
	})
}

func testTerm(number uint64) ids.Term { return ids.Term{Number: number, Node: "core-B"} }

func appendRequest(number uint64, prev ids.Index, entries ...rpc.Entry) *rpc.AppendRequest {
	request := &rpc.AppendRequest{Term: testTerm(number), From: peers("B")[0], PrevIndex: prev}
	if prev > 0 {
		request.PrevTerm = testTerm(number)
	}
	for i := range entries {
		entries[i].Index, entries[i].Term = prev+1+ids.Index(i), testTerm(number)
	}
	request.Entries = entries
	return request
}

func command(body string) rpc.Entry { return rpc.Entry{Body: json.RawMessage(body)} }

func membershipChange(current, former string) rpc.Entry {
	return rpc.Entry{Kind: entryMembershipChange, Voters: peers(current), OutgoingVoters: peers(former)}
}

// requireRejected demands that a message is refused by an event, and changes nothing.
func requireRejected(t *testing.T, part *Replica, machine *recordingMachine, what string, send func() error) {
	t.Helper()
	before, had := part.Status(), len(machine.commands)
	counted := part.node.env.Events.Counts()["MessageRefused"]
	if err := send(); err == nil {
		t.Errorf("%s: taken", what)
	}
	if part.node.env.Events.Counts()["MessageRefused"] != counted+1 {
		t.Errorf("%s: no event tells of it", what)
	}
	if after := part.Status(); !cmp.Equal(before, after) || len(machine.commands) != had {
		t.Errorf("%s changed the part: %s", what, cmp.Diff(before, after))
	}
}

func TestReplica_RejectsInvalidEntries(t *testing.T) {
	runReplica(t, func(t *testing.T, part *Replica, machine *recordingMachine) {
		if _, err := part.handleAppend(appendRequest(3, 0, rpc.Entry{Kind: entryEmpty}, command(`1`))); err != nil {
			t.Fatal(err)
		}
		late := command(`2`)
		gap := appendRequest(3, 2, command(`2`), command(`3`))
		gap.Entries[1].Index = 9
		for what, request := range map[string]*rpc.AppendRequest{
			"two members at once without the joint step": appendRequest(3, 2, membershipChange("ABD", "")),
			"a joint step from another group":            appendRequest(3, 2, membershipChange("ABD", "ABE")),
			"a joint step that is followed by another":   appendRequest(3, 2, membershipChange("ABD", "ABC"), membershipChange("ABE", "ABD")),
			"a change that ends in another group":        appendRequest(3, 2, membershipChange("ABD", "ABC"), late, membershipChange("ABE", "")),
			"nobody":                                     appendRequest(3, 2, membershipChange("", "")),
			"a gap":                                      gap,
		} {
			requireRejected(t, part, machine, what, func() error { _, err := part.handleAppend(request); return err })
		}
		if _, err := part.handleAppend(appendRequest(3, 2, membershipChange("ABD", "ABC"), command(`2`), membershipChange("ABD", ""))); err != nil {
			t.Errorf("a whole change is refused: %v", err)
		}
	})
}

func TestReplica_RejectsDamagedSnapshots(t *testing.T) {
	runReplica(t, func(t *testing.T, part *Replica, machine *recordingMachine) {
		if _, err := part.handleAppend(appendRequest(3, 0, rpc.Entry{Kind: entryEmpty}, command(`1`))); err != nil {
			t.Fatal(err)
		}
		good := rpc.Snapshot{Index: 9, Term: testTerm(3), Voters: peers("ABC"), State: json.RawMessage(`["1","2"]`)}
		for what, change := range map[string]func(s *rpc.Snapshot, request *rpc.SnapshotChunkRequest){
			"a foreign state":        func(s *rpc.Snapshot, _ *rpc.SnapshotChunkRequest) { s.State = json.RawMessage(`{"foreign":true}`) },
			"a snapshot of nobody":   func(s *rpc.Snapshot, _ *rpc.SnapshotChunkRequest) { s.Voters = nil },
			"another's index":        func(_ *rpc.Snapshot, request *rpc.SnapshotChunkRequest) { request.Index = 8 },
			"a wrong digest":         func(_ *rpc.Snapshot, request *rpc.SnapshotChunkRequest) { request.Digest = "00" },
			"a byte turned":          func(_ *rpc.Snapshot, request *rpc.SnapshotChunkRequest) { request.Data[len(request.Data)/2] ^= 1 },
			"more than was said":     func(_ *rpc.Snapshot, request *rpc.SnapshotChunkRequest) { request.Size-- },
			"a size out of bounds":   func(_ *rpc.Snapshot, request *rpc.SnapshotChunkRequest) { request.Size = maxPackedSnapshot + 1 },
			"an offset below zero":   func(_ *rpc.Snapshot, request *rpc.SnapshotChunkRequest) { request.Offset = -1 },
			"a term from the future": func(_ *rpc.Snapshot, request *rpc.SnapshotChunkRequest) { request.Term = testTerm(1 << 60) },
		} {
			snapshot := good
			request := &rpc.SnapshotChunkRequest{Data: make([]byte, 3)}
			change(&snapshot, request)
			chunk := chunksOf(&snapshot, 1<<20)[0]
			change(&snapshot, chunk)
			requireRejected(t, part, machine, what, func() error { _, err := part.handleSnapshotChunk(chunk); return err })
		}
		part.mu.Lock()
		defer part.mu.Unlock()
		if len(part.entries) != 2 {
			t.Errorf("%d entries are left of 2", len(part.entries))
		}
	})
}

// chunksOf cuts a snapshot as an owner under its term would send it.
func chunksOf(snapshot *rpc.Snapshot, size int) (asks []*rpc.SnapshotChunkRequest) {
	raw, _ := json.Marshal(snapshot)
	packed := newPackedSnapshot(snapshot.Index, snapshot.Term, raw)
	for offset := 0; offset < len(packed.data); offset += size {
		data := slices.Clone(packed.data[offset:min(len(packed.data), offset+size)])
		asks = append(asks, &rpc.SnapshotChunkRequest{Term: snapshot.Term, From: peers("B")[0], Index: packed.index, SnapshotTerm: packed.term, Digest: packed.digest, Size: int64(len(packed.data)), Offset: int64(offset), Data: data})
	}
	return asks
}

func TestReplica_ReassemblesSnapshotChunks(t *testing.T) {
	runReplica(t, func(t *testing.T, part *Replica, machine *recordingMachine) {
		chunks := chunksOf(&rpc.Snapshot{Index: 9, Term: testTerm(3), Voters: peers("ABC"), State: json.RawMessage(`["1","2","3"]`)}, 20)
		send := func(i int) *rpc.SnapshotChunkResponse {
			response, err := part.handleSnapshotChunk(chunks[i])
			if err != nil {
				t.Fatal(i, err)
			}
			return response
		}
		last := len(chunks) - 1
		if got := send(last); got.Received != 0 || got.MatchIndex != 0 {
			t.Errorf("the last chunk alone: %+v", got)
		}
		for _, i := range []int{0, 2, 0, 1, 1} {
			send(i)
		}
		if got := send(0); got.Received != 40 {
			t.Errorf("%d bytes are there of 40", got.Received)
		}
		// Another owner with the same snapshot goes on where the first one was.
		for _, chunk := range chunks[2:] {
			chunk.Term = testTerm(5)
		}
		for i := 2; i < last; i++ {
			send(i)
		}
		if got := send(last); got.MatchIndex != 9 || len(machine.commands) != 3 {
			t.Errorf("%+v, state %q", got, machine.commands)
		}
		if got := send(last); got.MatchIndex != 9 {
			t.Errorf("what is there already: %+v", got)
		}
	})
}

func TestReplica_IgnoresStaleAndImpossibleTerms(t *testing.T) {
	runReplica(t, func(t *testing.T, part *Replica, machine *recordingMachine) {
		if _, err := part.handleAppend(appendRequest(3, 0, rpc.Entry{Kind: entryEmpty})); err != nil {
			t.Fatal(err)
		}
		future := appendRequest(1<<60, 1, command(`1`))
		requireRejected(t, part, machine, "an entry from the future", func() error { _, err := part.handleAppend(future); return err })
		requireRejected(t, part, machine, "a candidate from the future", func() error {
			_, err := part.handleVote(&rpc.VoteRequest{Term: testTerm(1 << 60), From: peers("B")[0]})
			return err
		})
		if part.isTransferFromLeader(&rpc.CampaignRequest{Term: testTerm(2)}) || !part.isTransferFromLeader(&rpc.CampaignRequest{Term: testTerm(3)}) {
			t.Error("an invitation counts that is not of the term in force")
		}
		response, err := part.handleAppend(appendRequest(2, 1, command(`1`)))
		if err != nil || response.Success || response.CurrentTerm != testTerm(3) {
			t.Errorf("an entry of an old term: %+v, %v", response, err)
		}
	})
}

// TestReplica_RejectedSnapshotKeepsTerm: the promise that comes with it must be on disk,
// or the entries of that term would stand above what a restart finds.
func TestReplica_RejectedSnapshotKeepsTerm(t *testing.T) {
	runReplica(t, func(t *testing.T, part *Replica, machine *recordingMachine) {
		request := chunksOf(&rpc.Snapshot{Index: 9, Term: testTerm(4), Voters: peers("ABC"), State: json.RawMessage(`7`)}, 1<<20)[0]
		if _, err := part.handleSnapshotChunk(request); err == nil {
			t.Fatal("a foreign snapshot is taken")
		}
		if _, err := part.handleAppend(appendRequest(4, 0, rpc.Entry{Kind: entryEmpty})); err != nil {
			t.Fatal(err)
		}
		again := newReplica(part.node, 0, &recordingMachine{})
		if err := again.load(); err != nil {
			t.Error(err)
		}
	})
}

func TestReplica_RemovedMemberDoesNotCampaign(t *testing.T) {
	runReplica(t, func(t *testing.T, part *Replica, machine *recordingMachine) {
		request := appendRequest(3, 0, rpc.Entry{Kind: entryEmpty}, membershipChange("ABD", "ABC"), membershipChange("ABD", ""))
		if _, err := part.handleAppend(request); err != nil {
			t.Fatal(err)
		}
		part.lastLeaderContact = time.Time{}
		stale := &rpc.VoteRequest{Term: testTerm(9), From: peers("C")[0], LastIndex: 1, LastTerm: testTerm(3)}
		if response, err := part.handleVote(stale); err != nil || response.NotMember || !response.Granted {
			t.Fatalf("a change that is not known to be committed shut a member out: %+v, %v", response, err)
		}
		again := appendRequest(10, 3)
		again.PrevTerm, again.Commit = testTerm(3), 3
		if _, err := part.handleAppend(again); err != nil {
			t.Fatal(err)
		}
		before := part.Status().CurrentTerm
		stale.Term = testTerm(20)
		if response, err := part.handleVote(stale); err != nil || response.Granted || !response.NotMember {
			t.Errorf("a removed member is promised to: %+v, %v", response, err)
		}
		if part.Status().CurrentTerm != before {
			t.Error("its term ends the owner's")
		}
		ahead := &rpc.VoteRequest{Term: testTerm(21), From: peers("C")[0], LastIndex: 9, LastTerm: testTerm(12)}
		part.lastLeaderContact = time.Time{}
		if response, err := part.handleVote(ahead); err != nil || !response.Granted {
			t.Errorf("one that may have been put back since is shut out: %+v, %v", response, err)
		}
		part.noteRemoved(true)
		if !part.isRemoved || part.node.env.Events.Counts()["MemberRemoved"] != 1 {
			t.Error("a member that was told does not rest")
		}
	})
}
