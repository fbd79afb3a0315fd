// These tests drive one replica by messages as they come over the wire. What is damaged,
// late or skips a step is rejected with an event, and changes nothing.
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

// recordingMachine is a state machine that keeps its commands.
type recordingMachine struct{ commands []string }

func (m *recordingMachine) Apply(_ ids.Index, body json.RawMessage) any {
	m.commands = append(m.commands, string(body))
	return nil
}
func (m *recordingMachine) Snapshot() func() (json.RawMessage, error) {
	all := slices.Clone(m.commands)
	return func() (json.RawMessage, error) { return json.Marshal(all) }
}
func (m *recordingMachine) Restore(state json.RawMessage) error {
	var all []string
	if err := json.Unmarshal(state, &all); err != nil {
		return err
	}
	m.commands = all
	return nil
}

// runReplica runs a test on member A of a shard whose first voters are A, B and C.
func runReplica(t *testing.T, play func(t *testing.T, r *Replica, machine *recordingMachine)) {
	synctest.Test(t, func(t *testing.T) {
		p, err := config.Load("", map[string]string{"name": "core-A", "zone": "z", "peer.address": "10.0.0.1:7000", "api.address": "10.0.0.1:7001", "data.folder": "/part", "seeds": "10.0.0.2:7000"})
		if err != nil {
			t.Fatal(err)
		}
		disk := leveldbstorage.NewMemStorage()
		env := environment.New(context.Background(), p, eventlog.New(io.Discard, "debug", "core-A"), environment.Host{OpenStorage: func(string) (leveldbstorage.Storage, error) { return disk, nil }})
		defer time.Sleep(time.Minute) // of virtual time: the store closes behind its last task
		defer env.Shutdown()
		store, err := storage.Open(env)
		if err != nil {
			t.Fatal(err)
		}
		machine := &recordingMachine{}
		node := &Node{env: env, store: store, self: peers("A")[0], leaders: map[ids.Shard]leaderRecord{}}
		r := newReplica(node, 0, machine)
		node.replicas = []*Replica{r}
		r.log.snapshot.Voters = peers("ABC")
		r.updateVoters()
		play(t, r, machine)
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

func membershipChange(current, outgoing string) rpc.Entry {
	return rpc.Entry{Kind: entryMembershipChange, Voters: peers(current), OutgoingVoters: peers(outgoing)}
}

// requireRejected demands that a message is rejected with an event, and changes nothing.
func requireRejected(t *testing.T, r *Replica, machine *recordingMachine, send func() error) {
	t.Helper()
	before, had := r.Status(), len(machine.commands)
	counted := r.node.env.Events.Counts()["MessageRefused"]
	if err := send(); err == nil {
		t.Error("accepted")
	}
	if r.node.env.Events.Counts()["MessageRefused"] != counted+1 {
		t.Error("no event tells of it")
	}
	if after := r.Status(); !cmp.Equal(before, after) || len(machine.commands) != had {
		t.Errorf("it changed the replica: %s", cmp.Diff(before, after))
	}
}

// withTwoEntries appends an empty entry and a command under term 3.
func withTwoEntries(t *testing.T, r *Replica) {
	t.Helper()
	if _, err := r.handleAppend(appendRequest(3, 0, rpc.Entry{Kind: entryEmpty}, command(`1`))); err != nil {
		t.Fatal(err)
	}
}

func TestReplica_RejectsInvalidEntries(t *testing.T) {
	gap := appendRequest(3, 2, command(`2`), command(`3`))
	gap.Entries[1].Index = 9
	for name, request := range map[string]*rpc.AppendRequest{
		"two members at once without the joint step": appendRequest(3, 2, membershipChange("ABD", "")),
		"a joint step from other voters":             appendRequest(3, 2, membershipChange("ABD", "ABE")),
		"a joint step that is followed by another":   appendRequest(3, 2, membershipChange("ABD", "ABC"), membershipChange("ABE", "ABD")),
		"a change that ends in other voters":         appendRequest(3, 2, membershipChange("ABD", "ABC"), command(`2`), membershipChange("ABE", "")),
		"no voters":                                  appendRequest(3, 2, membershipChange("", "")),
		"a gap":                                      gap,
	} {
		t.Run(name, func(t *testing.T) {
			runReplica(t, func(t *testing.T, r *Replica, machine *recordingMachine) {
				withTwoEntries(t, r)
				requireRejected(t, r, machine, func() error { _, err := r.handleAppend(request); return err })
				if _, err := r.handleAppend(appendRequest(3, 2, membershipChange("ABD", "ABC"), command(`2`), membershipChange("ABD", ""))); err != nil {
					t.Errorf("a complete change is rejected: %v", err)
				}
			})
		})
	}
}

func TestReplica_RejectsDamagedSnapshots(t *testing.T) {
	for name, change := range map[string]func(s *rpc.Snapshot, request *rpc.SnapshotChunkRequest){
		"a foreign state":         func(s *rpc.Snapshot, _ *rpc.SnapshotChunkRequest) { s.State = json.RawMessage(`{"foreign":true}`) },
		"a snapshot of no voters": func(s *rpc.Snapshot, _ *rpc.SnapshotChunkRequest) { s.Voters = nil },
		"another's index":         func(_ *rpc.Snapshot, request *rpc.SnapshotChunkRequest) { request.Index = 8 },
		"a wrong digest":          func(_ *rpc.Snapshot, request *rpc.SnapshotChunkRequest) { request.Digest = "00" },
		"a byte turned":           func(_ *rpc.Snapshot, request *rpc.SnapshotChunkRequest) { request.Data[len(request.Data)/2] ^= 1 },
		"more than was said":      func(_ *rpc.Snapshot, request *rpc.SnapshotChunkRequest) { request.Size-- },
		"a size out of bounds":    func(_ *rpc.Snapshot, request *rpc.SnapshotChunkRequest) { request.Size = maxPackedSnapshot + 1 },
		"an offset below zero":    func(_ *rpc.Snapshot, request *rpc.SnapshotChunkRequest) { request.Offset = -1 },
		"a term from the future":  func(_ *rpc.Snapshot, request *rpc.SnapshotChunkRequest) { request.Term = testTerm(1 << 60) },
	} {
		t.Run(name, func(t *testing.T) {
			runReplica(t, func(t *testing.T, r *Replica, machine *recordingMachine) {
				withTwoEntries(t, r)
				snapshot := &rpc.Snapshot{Index: 9, Term: testTerm(3), Voters: peers("ABC"), State: json.RawMessage(`["1","2"]`)}
				change(snapshot, &rpc.SnapshotChunkRequest{Data: make([]byte, 3)})
				chunk := chunksOf(snapshot, 1<<20)[0]
				change(snapshot, chunk)
				requireRejected(t, r, machine, func() error { _, err := r.handleSnapshotChunk(chunk); return err })
				if n := entryCount(r); n != 2 {
					t.Errorf("%d entries are left of 2", n)
				}
				intact := &rpc.Snapshot{Index: 9, Term: testTerm(3), Voters: peers("ABC"), State: json.RawMessage(`["1","2"]`)}
				if got, err := r.handleSnapshotChunk(chunksOf(intact, 1<<20)[0]); err != nil || got.MatchIndex != 9 {
					t.Errorf("the same snapshot undamaged: %+v, %v", got, err)
				}
			})
		})
	}
}

func entryCount(r *Replica) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.log.entries)
}

// chunksOf cuts a snapshot as a leader of its term would send it.
func chunksOf(snapshot *rpc.Snapshot, size int) (requests []*rpc.SnapshotChunkRequest) {
	packed := packSnapshot(snapshot)
	for offset := 0; offset < len(packed.data); offset += size {
		data := slices.Clone(packed.data[offset:min(len(packed.data), offset+size)])
		requests = append(requests, &rpc.SnapshotChunkRequest{Term: snapshot.Term, From: peers("B")[0], Index: packed.index, SnapshotTerm: packed.term, Digest: packed.digest, Size: int64(len(packed.data)), Offset: int64(offset), Data: data})
	}
	return requests
}

func TestReplica_ReassemblesSnapshotChunks(t *testing.T) {
	runReplica(t, func(t *testing.T, r *Replica, machine *recordingMachine) {
		chunks := chunksOf(&rpc.Snapshot{Index: 9, Term: testTerm(3), Voters: peers("ABC"), State: json.RawMessage(`["1","2","3"]`)}, 20)
		send := func(i int) *rpc.SnapshotChunkResponse {
			response, err := r.handleSnapshotChunk(chunks[i])
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
		// Another leader with the same snapshot goes on where the first one was.
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
	runReplica(t, func(t *testing.T, r *Replica, machine *recordingMachine) {
		if _, err := r.handleAppend(appendRequest(3, 0, rpc.Entry{Kind: entryEmpty})); err != nil {
			t.Fatal(err)
		}
		future := appendRequest(1<<60, 1, command(`1`))
		requireRejected(t, r, machine, func() error { _, err := r.handleAppend(future); return err })
		requireRejected(t, r, machine, func() error {
			_, err := r.handleVote(&rpc.VoteRequest{Term: testTerm(1 << 60), From: peers("B")[0]})
			return err
		})
		if r.isTransferFromLeader(&rpc.CampaignRequest{Term: testTerm(2)}) || !r.isTransferFromLeader(&rpc.CampaignRequest{Term: testTerm(3)}) {
			t.Error("a transfer counts that is not of the current term")
		}
		response, err := r.handleAppend(appendRequest(2, 1, command(`1`)))
		if err != nil || response.Success || response.CurrentTerm != testTerm(3) {
			t.Errorf("an entry of an old term: %+v, %v", response, err)
		}
	})
}

// TestReplica_RejectedSnapshotKeepsTerm: the term that comes with it must be on disk, or the
// entries of that term would be above what a restart finds.
func TestReplica_RejectedSnapshotKeepsTerm(t *testing.T) {
	runReplica(t, func(t *testing.T, r *Replica, machine *recordingMachine) {
		request := chunksOf(&rpc.Snapshot{Index: 9, Term: testTerm(4), Voters: peers("ABC"), State: json.RawMessage(`7`)}, 1<<20)[0]
		if _, err := r.handleSnapshotChunk(request); err == nil {
			t.Fatal("a foreign snapshot is accepted")
		}
		if _, err := r.handleAppend(appendRequest(4, 0, rpc.Entry{Kind: entryEmpty})); err != nil {
			t.Fatal(err)
		}
		again := newReplica(r.node, 0, &recordingMachine{})
		if err := again.load(); err != nil {
			t.Error(err)
		}
	})
}

func TestReplica_RemovedMemberDoesNotCampaign(t *testing.T) {
	runReplica(t, func(t *testing.T, r *Replica, machine *recordingMachine) {
		request := appendRequest(3, 0, rpc.Entry{Kind: entryEmpty}, membershipChange("ABD", "ABC"), membershipChange("ABD", ""))
		if _, err := r.handleAppend(request); err != nil {
			t.Fatal(err)
		}
		r.election.lastLeaderContact = time.Time{}
		stale := &rpc.VoteRequest{Term: testTerm(9), From: peers("C")[0], LastIndex: 1, LastTerm: testTerm(3)}
		if response, err := r.handleVote(stale); err != nil || response.NotMember || !response.Granted {
			t.Fatalf("a change that is not known to be committed shut a member out: %+v, %v", response, err)
		}
		again := appendRequest(10, 3)
		again.PrevTerm, again.Commit = testTerm(3), 3
		if _, err := r.handleAppend(again); err != nil {
			t.Fatal(err)
		}
		before := r.Status().CurrentTerm
		stale.Term = testTerm(20)
		if response, err := r.handleVote(stale); err != nil || response.Granted || !response.NotMember {
			t.Errorf("a removed member gets a vote: %+v, %v", response, err)
		}
		if r.Status().CurrentTerm != before {
			t.Error("its term deposes the leader")
		}
		ahead := &rpc.VoteRequest{Term: testTerm(21), From: peers("C")[0], LastIndex: 9, LastTerm: testTerm(12)}
		r.election.lastLeaderContact = time.Time{}
		if response, err := r.handleVote(ahead); err != nil || !response.Granted {
			t.Errorf("one that may have been put back since is shut out: %+v, %v", response, err)
		}
		r.markRemoved()
		if !r.election.isRemoved || r.node.env.Events.Counts()["MemberRemoved"] != 1 {
			t.Error("a member that was told does not rest")
		}
	})
}
