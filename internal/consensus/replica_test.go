// These tests call the message handlers of one replica. Invalid messages must be rejected with
// an event and change nothing.
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

// recordingMachine is a state machine that records the applied commands.
type recordingMachine struct{ commands []string }

func (m *recordingMachine) Apply(_ ids.Index, body json.RawMessage) any {
	m.commands = append(m.commands, string(body))
	return nil
}
func (m *recordingMachine) Snapshot() func() (json.RawMessage, error) {
	commands := slices.Clone(m.commands)
	return func() (json.RawMessage, error) { return json.Marshal(commands) }
}
func (m *recordingMachine) Restore(state json.RawMessage) error {
	var commands []string
	if err := json.Unmarshal(state, &commands); err != nil {
		return err
	}
	m.commands = commands
	return nil
}

// runReplicaTest runs a test in virtual time on member A of a shard with voters A, B and C.
func runReplicaTest(t *testing.T, run func(t *testing.T, r *Replica, machine *recordingMachine)) {
	synctest.Test(t, func(t *testing.T) {
		p, err := config.Load("", map[string]string{"name": "core-A", "zone": "z", "peer.address": "10.0.0.1:7000", "api.address": "10.0.0.1:7001", "data.folder": "/part", "seeds": "10.0.0.2:7000"})
		if err != nil {
			t.Fatal(err)
		}
		disk := leveldbstorage.NewMemStorage()
		env := environment.New(context.Background(), p, eventlog.New(io.Discard, "debug", "core-A"), environment.Host{OpenStorage: func(string) (leveldbstorage.Storage, error) { return disk, nil }})
		defer time.Sleep(time.Minute) // in virtual time: lets the store close after its last task
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
		run(t, r, machine)
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

// requireRejected checks that sending a message fails, logs MessageRejected and changes nothing.
func requireRejected(t *testing.T, r *Replica, machine *recordingMachine, send func() error) {
	t.Helper()
	statusBefore, commandsBefore := r.Status(), len(machine.commands)
	rejectedBefore := r.node.env.Events.Counts()["MessageRefused"]
	if err := send(); err == nil {
		t.Error("the message was accepted")
	}
	if r.node.env.Events.Counts()["MessageRefused"] != rejectedBefore+1 {
		t.Error("the rejection was not logged")
	}
	if statusAfter := r.Status(); !cmp.Equal(statusBefore, statusAfter) || len(machine.commands) != commandsBefore {
		t.Errorf("the message changed the replica: %s", cmp.Diff(statusBefore, statusAfter))
	}
}

// appendTwoEntries appends an empty entry and a command of term 3.
func appendTwoEntries(t *testing.T, r *Replica) {
	t.Helper()
	if _, err := r.handleAppend(appendRequest(3, 0, rpc.Entry{Kind: entryEmpty}, command(`1`))); err != nil {
		t.Fatal(err)
	}
}

func TestReplica_RejectsInvalidEntries(t *testing.T) {
	gap := appendRequest(3, 2, command(`2`), command(`3`))
	gap.Entries[1].Index = 9
	for name, request := range map[string]*rpc.AppendRequest{
		"change of two members without the joint step": appendRequest(3, 2, membershipChange("ABD", "")),
		"joint step from other voters":                 appendRequest(3, 2, membershipChange("ABD", "ABE")),
		"joint step followed by another joint step":    appendRequest(3, 2, membershipChange("ABD", "ABC"), membershipChange("ABE", "ABD")),
		"change that ends with other voters":           appendRequest(3, 2, membershipChange("ABD", "ABC"), command(`2`), membershipChange("ABE", "")),
		"no voters":                                    appendRequest(3, 2, membershipChange("", "")),
		"gap in the indexes":                           gap,
	} {
		t.Run(name, func(t *testing.T) {
			runReplicaTest(t, func(t *testing.T, r *Replica, machine *recordingMachine) {
				appendTwoEntries(t, r)
				requireRejected(t, r, machine, func() error { _, err := r.handleAppend(request); return err })
				if _, err := r.handleAppend(appendRequest(3, 2, membershipChange("ABD", "ABC"), command(`2`), membershipChange("ABD", ""))); err != nil {
					t.Errorf("a complete membership change was rejected: %v", err)
				}
			})
		})
	}
}

func TestReplica_RejectsDamagedSnapshots(t *testing.T) {
	for name, damage := range map[string]func(s *rpc.Snapshot, request *rpc.SnapshotChunkRequest){
		"state of another format":           func(s *rpc.Snapshot, _ *rpc.SnapshotChunkRequest) { s.State = json.RawMessage(`{"foreign":true}`) },
		"no voters":                         func(s *rpc.Snapshot, _ *rpc.SnapshotChunkRequest) { s.Voters = nil },
		"index differs from the snapshot's": func(_ *rpc.Snapshot, request *rpc.SnapshotChunkRequest) { request.Index = 8 },
		"wrong digest":                      func(_ *rpc.Snapshot, request *rpc.SnapshotChunkRequest) { request.Digest = "00" },
		"corrupted byte":                    func(_ *rpc.Snapshot, request *rpc.SnapshotChunkRequest) { request.Data[len(request.Data)/2] ^= 1 },
		"more data than the size":           func(_ *rpc.Snapshot, request *rpc.SnapshotChunkRequest) { request.Size-- },
		"size too large":                    func(_ *rpc.Snapshot, request *rpc.SnapshotChunkRequest) { request.Size = maxPackedSnapshotBytes + 1 },
		"negative offset":                   func(_ *rpc.Snapshot, request *rpc.SnapshotChunkRequest) { request.Offset = -1 },
		"term number too high":              func(_ *rpc.Snapshot, request *rpc.SnapshotChunkRequest) { request.Term = testTerm(1 << 60) },
	} {
		t.Run(name, func(t *testing.T) {
			runReplicaTest(t, func(t *testing.T, r *Replica, machine *recordingMachine) {
				appendTwoEntries(t, r)
				snapshot := &rpc.Snapshot{Index: 9, Term: testTerm(3), Voters: peers("ABC"), State: json.RawMessage(`["1","2"]`)}
				damage(snapshot, &rpc.SnapshotChunkRequest{Data: make([]byte, 3)})
				chunk := chunksOf(snapshot, 1<<20)[0]
				damage(snapshot, chunk)
				requireRejected(t, r, machine, func() error { _, err := r.handleSnapshotChunk(chunk); return err })
				if n := entryCount(r); n != 2 {
					t.Errorf("the log has %d entries, want 2", n)
				}
				intact := &rpc.Snapshot{Index: 9, Term: testTerm(3), Voters: peers("ABC"), State: json.RawMessage(`["1","2"]`)}
				if got, err := r.handleSnapshotChunk(chunksOf(intact, 1<<20)[0]); err != nil || got.MatchIndex != 9 {
					t.Errorf("the undamaged snapshot: %+v, %v", got, err)
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

// chunksOf returns the chunks in which a leader of the snapshot's term would send it.
func chunksOf(snapshot *rpc.Snapshot, size int) (requests []*rpc.SnapshotChunkRequest) {
	packed := packSnapshot(snapshot)
	for offset := 0; offset < len(packed.data); offset += size {
		data := slices.Clone(packed.data[offset:min(len(packed.data), offset+size)])
		requests = append(requests, &rpc.SnapshotChunkRequest{Term: snapshot.Term, From: peers("B")[0], Index: packed.index, SnapshotTerm: packed.term, Digest: packed.digest, Size: int64(len(packed.data)), Offset: int64(offset), Data: data})
	}
	return requests
}

func TestReplica_ReassemblesSnapshotChunks(t *testing.T) {
	runReplicaTest(t, func(t *testing.T, r *Replica, machine *recordingMachine) {
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
			t.Errorf("response to the last chunk alone: %+v", got)
		}
		for _, i := range []int{0, 2, 0, 1, 1} {
			send(i)
		}
		if got := send(0); got.Received != 40 {
			t.Errorf("%d bytes received, want 40", got.Received)
		}
		// Another leader continues the transfer of the same snapshot.
		for _, chunk := range chunks[2:] {
			chunk.Term = testTerm(5)
		}
		for i := 2; i < last; i++ {
			send(i)
		}
		if got := send(last); got.MatchIndex != 9 || len(machine.commands) != 3 {
			t.Errorf("response to the last chunk: %+v, state %q", got, machine.commands)
		}
		if got := send(last); got.MatchIndex != 9 {
			t.Errorf("response to a chunk of an installed snapshot: %+v", got)
		}
	})
}

func TestReplica_IgnoresStaleAndImpossibleTerms(t *testing.T) {
	runReplicaTest(t, func(t *testing.T, r *Replica, machine *recordingMachine) {
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
			t.Error("only a leadership transfer of the current term must be accepted")
		}
		response, err := r.handleAppend(appendRequest(2, 1, command(`1`)))
		if err != nil || response.Success || response.CurrentTerm != testTerm(3) {
			t.Errorf("response to an entry of an old term: %+v, %v", response, err)
		}
	})
}

// TestReplica_RejectedSnapshotKeepsTerm checks that the term of a rejected snapshot is persisted.
// Otherwise a restart would find later entries of that term above the current term.
func TestReplica_RejectedSnapshotKeepsTerm(t *testing.T) {
	runReplicaTest(t, func(t *testing.T, r *Replica, machine *recordingMachine) {
		request := chunksOf(&rpc.Snapshot{Index: 9, Term: testTerm(4), Voters: peers("ABC"), State: json.RawMessage(`7`)}, 1<<20)[0]
		if _, err := r.handleSnapshotChunk(request); err == nil {
			t.Fatal("an invalid snapshot was accepted")
		}
		if _, err := r.handleAppend(appendRequest(4, 0, rpc.Entry{Kind: entryEmpty})); err != nil {
			t.Fatal(err)
		}
		restarted := newReplica(r.node, 0, &recordingMachine{})
		if err := restarted.load(); err != nil {
			t.Error(err)
		}
	})
}

func TestReplica_RejectsRemovedCandidates(t *testing.T) {
	runReplicaTest(t, func(t *testing.T, r *Replica, machine *recordingMachine) {
		request := appendRequest(3, 0, rpc.Entry{Kind: entryEmpty}, membershipChange("ABD", "ABC"), membershipChange("ABD", ""))
		if _, err := r.handleAppend(request); err != nil {
			t.Fatal(err)
		}
		r.election.lastLeaderContact = time.Time{}
		stale := &rpc.VoteRequest{Term: testTerm(9), From: peers("C")[0], LastIndex: 1, LastTerm: testTerm(3)}
		if response, err := r.handleVote(stale); err != nil || response.NotMember || !response.Granted {
			t.Fatalf("a member removed by an uncommitted change got no vote: %+v, %v", response, err)
		}
		commitRequest := appendRequest(10, 3)
		commitRequest.PrevTerm, commitRequest.Commit = testTerm(3), 3
		if _, err := r.handleAppend(commitRequest); err != nil {
			t.Fatal(err)
		}
		termBefore := r.Status().CurrentTerm
		stale.Term = testTerm(20)
		if response, err := r.handleVote(stale); err != nil || response.Granted || !response.NotMember {
			t.Errorf("a removed member got a vote: %+v, %v", response, err)
		}
		if r.Status().CurrentTerm != termBefore {
			t.Error("a removed member's request raised the term")
		}
		ahead := &rpc.VoteRequest{Term: testTerm(21), From: peers("C")[0], LastIndex: 9, LastTerm: testTerm(12)}
		r.election.lastLeaderContact = time.Time{}
		if response, err := r.handleVote(ahead); err != nil || !response.Granted {
			t.Errorf("a candidate with a newer log, which may have been added again, got no vote: %+v, %v", response, err)
		}
		r.markRemoved()
		if !r.election.isRemoved || r.node.env.Events.Counts()["MemberRemoved"] != 1 {
			t.Error("markRemoved did not mark the member, or not log it once")
		}
	})
}
