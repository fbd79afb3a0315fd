package approved

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/sumactrestle/sumactrestle/internal/transcript"

	"github.com/sumactrestle/sumactrestle/internal/config"
	"github.com/sumactrestle/sumactrestle/internal/controlplane"
	"github.com/sumactrestle/sumactrestle/internal/coordination"
	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/eventlog"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
	"github.com/sumactrestle/sumactrestle/internal/storage"
)

// dataFolders are folders in testdata that were written by processes of commit 045cf15. alone is
// from the only core node of its fleet, which was stopped, restarted and killed. core1 is from one
// of three core nodes; one of the others was lost and replaced by a fourth, and core1 was killed at
// the end. Both contain change sets, targets that serve, drain or have left, keys, counters, locks
// and elections, in snapshots taken every ten entries and in the log entries after them. The
// approved contents were generated with that commit's code.
var dataFolders = []string{"alone", "core1"}

// copyDataFolder copies a data folder to a temporary folder, which a test may modify.
func copyDataFolder(t *testing.T, name string) string {
	t.Helper()
	folder := t.TempDir()
	if err := os.CopyFS(folder, os.DirFS(filepath.Join("testdata", "folders", name))); err != nil {
		t.Fatal(err)
	}
	return folder
}

// stateMachine applies the log entries of a shard.
type stateMachine interface {
	apply(index uint64, body json.RawMessage)
	restore(raw json.RawMessage) error
	snapshot() (json.RawMessage, error)
}

type configStateMachine struct{ *controlplane.ConfigState }

func (s configStateMachine) apply(index uint64, body json.RawMessage) {
	s.Apply(ids.Index(index), body)
}
func (s configStateMachine) restore(raw json.RawMessage) error  { return s.Restore(raw) }
func (s configStateMachine) snapshot() (json.RawMessage, error) { return s.Snapshot()() }

type coordinationStateMachine struct{ *coordination.Store }

func (s coordinationStateMachine) apply(index uint64, body json.RawMessage) {
	s.Apply(ids.Index(index), body)
}
func (s coordinationStateMachine) restore(raw json.RawMessage) error  { return s.Restore(raw) }
func (s coordinationStateMachine) snapshot() (json.RawMessage, error) { return s.Snapshot()() }

func openStore(t *testing.T, folder string) *storage.Store {
	t.Helper()
	settings := &config.Settings{Name: "n", DataFolder: folder, LogLevel: "error"}
	r := environment.New(context.Background(), settings, eventlog.New(io.Discard, "error", "n"), environment.NewHost(""))
	t.Cleanup(r.Shutdown)
	store, err := storage.Open(r)
	if err != nil {
		t.Fatal(err)
	}
	return store
}

func decodeSnapshot(raw json.RawMessage) (index uint64, state json.RawMessage, err error) {
	var s rpc.Snapshot
	err = json.Unmarshal(raw, &s)
	return uint64(s.Index), s.State, err
}

func decodeEntry(raw json.RawMessage) (index uint64, kind string, body json.RawMessage, err error) {
	var e rpc.Entry
	err = json.Unmarshal(raw, &e)
	return uint64(e.Index), e.Kind, e.Body, err
}

const dataShardCount = ids.ShardCount

// The test compares each key and value of the folders with the approved ones, and the state of
// each shard after its snapshot and entries have been applied.
func TestDataFolder_OfEarlierVersionIsReadable(t *testing.T) {
	for _, name := range dataFolders {
		t.Run(name, func(t *testing.T) {
			store := openStore(t, copyDataFolder(t, name))
			values := map[string][]byte{}
			var keys []string
			var listing strings.Builder
			err := store.Scan("", func(key string, value []byte) error {
				keys = append(keys, key)
				values[key] = value
				fmt.Fprintf(&listing, "%q %s\n", key, value)
				return nil
			})
			if err != nil {
				t.Fatal(err)
			}
			transcript.Compare(t, name+".keys.txt", listing.String())
			var states strings.Builder
			for shard := range dataShardCount + 1 {
				var machine stateMachine = configStateMachine{controlplane.NewConfigState()}
				if shard < dataShardCount {
					machine = coordinationStateMachine{coordination.NewStore()}
				}
				last := uint64(0)
				if raw := values[fmt.Sprintf("p/%02d/base", shard)]; raw != nil {
					index, state, err := decodeSnapshot(raw)
					if err != nil {
						t.Fatal(err)
					}
					if err := machine.restore(state); err != nil {
						t.Fatal(err)
					}
					last = index
				}
				for _, key := range slices.Sorted(slices.Values(keys)) {
					if !strings.HasPrefix(key, fmt.Sprintf("p/%02d/e/", shard)) {
						continue
					}
					index, kind, body, err := decodeEntry(values[key])
					if err != nil || index != last+1 {
						t.Fatalf("%s: entry %d after %d: %v", key, index, last, err)
					}
					if last = index; kind == "" {
						machine.apply(index, body)
					}
				}
				state, err := machine.snapshot()
				if err != nil {
					t.Fatal(err)
				}
				fmt.Fprintf(&states, "%02d up to %d: %s\n", shard, last, state)
			}
			transcript.Compare(t, name+".states.txt", states.String())
		})
	}
}

// Nodes start on copies of the folders, and their API returns the approved state.
func TestNode_StartsOnDataFolderOfEarlierVersion(t *testing.T) {
	t.Run("alone", func(t *testing.T) {
		_, apiAddress, _ := startNode(t, copyDataFolder(t, "alone"), map[string]string{"name": "alone"})
		waitUntil(t, "the node is ready", func() bool {
			_, ready := httpGet(t, "http://"+apiAddress+"/v1/ready")
			return strings.Contains(ready, "ready")
		})
		var out strings.Builder
		for _, path := range []string{
			"changes/c1", "changes/c2", "changes/c3", "changes/c4", "keys?name=apps/key2", "keys/list?prefix=apps/", "keys/list?prefix=other/",
			"counters?name=apps/count", "counters?name=apps/below", "locks?name=apps/lock", "locks?name=apps/freed", "elections?name=apps/chief",
		} {
			status, text := httpGet(t, "http://"+apiAddress+"/v1/"+path)
			if strings.HasPrefix(path, "keys/list") {
				_, text, _ = strings.Cut(text, ",") // without the applied index, which may have advanced
			}
			fmt.Fprintf(&out, "%s %d %s\n", path, status, strings.TrimSpace(text))
		}
		var epoch struct {
			Changed uint64
			Config  json.RawMessage
		}
		if _, text := httpGet(t, "http://"+apiAddress+"/v1/epoch"); json.Unmarshal([]byte(text), &epoch) != nil {
			t.Fatal(text)
		}
		fmt.Fprintf(&out, "epoch %d %s\n", epoch.Changed, epoch.Config)
		transcript.Compare(t, "alone.answers.txt", out.String()+listMembers(t, apiAddress))
	})
	t.Run("core1", func(t *testing.T) {
		_, apiAddress, _ := startNode(t, copyDataFolder(t, "core1"), map[string]string{"name": "core1", "bootstrap.cores": "3"})
		var parts struct{ Rows [][]string }
		if _, text := httpGet(t, "http://"+apiAddress+"/v1/show/parts"); json.Unmarshal([]byte(text), &parts) != nil {
			t.Fatal(text)
		}
		var out strings.Builder
		for _, row := range parts.Rows { // columns: part owner term commit last serving age group
			fmt.Fprintln(&out, row[0], row[2], row[3], row[4], row[7])
		}
		transcript.Compare(t, "core1.answers.txt", out.String()+listMembers(t, apiAddress))
	})
}

// listMembers returns name, ID and fleet of each member that a node knows, one per line.
func listMembers(t *testing.T, apiAddress string) (list string) {
	t.Helper()
	var table struct{ Rows [][]string }
	if _, text := httpGet(t, "http://"+apiAddress+"/v1/show/members"); json.Unmarshal([]byte(text), &table) != nil {
		t.Fatal(text)
	}
	for _, row := range table.Rows {
		list += strings.Join([]string{"member", row[0], row[7], row[8]}, " ") + "\n"
	}
	return list
}
