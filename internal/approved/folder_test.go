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

// The folders in testdata were written by real processes of commit 045cf15: alone is a
// core node that is its own majority, stopped, started again and killed; core1 is one of
// three core nodes of which one was lost and replaced by a fourth, killed in the end. Both
// hold change sets, targets that serve, drain and left, keys, counters, locks and claims,
// under snapshots of ten entries each and the tails of the logs. What they hold was
// approved with that commit's code.
var folders = []string{"alone", "core1"}

// copied is a copy of a folder, to be opened and written to.
func copied(t *testing.T, name string) string {
	t.Helper()
	folder := t.TempDir()
	if err := os.CopyFS(folder, os.DirFS(filepath.Join("testdata", "folders", name))); err != nil {
		t.Fatal(err)
	}
	return folder
}

// shardState is what folds a shard's entries.
type shardState interface {
	apply(index uint64, body json.RawMessage)
	restore(raw json.RawMessage) error
	state() (json.RawMessage, error)
}

type configurationShard struct{ *controlplane.ConfigState }

func (s configurationShard) apply(index uint64, body json.RawMessage) {
	s.Apply(ids.Index(index), body)
}
func (s configurationShard) restore(raw json.RawMessage) error { return s.Restore(raw) }
func (s configurationShard) state() (json.RawMessage, error)   { return s.Snapshot()() }

type coordinationShard struct{ *coordination.Store }

func (s coordinationShard) apply(index uint64, body json.RawMessage) { s.Apply(ids.Index(index), body) }
func (s coordinationShard) restore(raw json.RawMessage) error        { return s.Restore(raw) }
func (s coordinationShard) state() (json.RawMessage, error)          { return s.Snapshot()() }

func openFolder(t *testing.T, folder string) *storage.Store {
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

func readSnapshot(raw json.RawMessage) (index uint64, state json.RawMessage, err error) {
	var s rpc.Snapshot
	err = json.Unmarshal(raw, &s)
	return uint64(s.Index), s.State, err
}

func readEntry(raw json.RawMessage) (index uint64, kind string, body json.RawMessage, err error) {
	var e rpc.Entry
	err = json.Unmarshal(raw, &e)
	return uint64(e.Index), e.Kind, e.Body, err
}

const shards = ids.ShardCount

// TestAFolderOfBeforeIsRead holds each key and value of the folders, and the state that
// each shard's snapshot and entries fold to.
func TestAFolderOfBeforeIsRead(t *testing.T) {
	for _, name := range folders {
		t.Run(name, func(t *testing.T) {
			store := openFolder(t, copied(t, name))
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
			for shard := range shards + 1 {
				var m shardState = configurationShard{controlplane.NewConfigState()}
				if shard < shards {
					m = coordinationShard{coordination.NewStore()}
				}
				last := uint64(0)
				if raw := values[fmt.Sprintf("p/%02d/base", shard)]; raw != nil {
					index, state, err := readSnapshot(raw)
					if err != nil {
						t.Fatal(err)
					}
					if err := m.restore(state); err != nil {
						t.Fatal(err)
					}
					last = index
				}
				for _, key := range slices.Sorted(slices.Values(keys)) {
					if !strings.HasPrefix(key, fmt.Sprintf("p/%02d/e/", shard)) {
						continue
					}
					index, kind, body, err := readEntry(values[key])
					if err != nil || index != last+1 {
						t.Fatalf("%s: entry %d after %d: %v", key, index, last, err)
					}
					if last = index; kind == "" {
						m.apply(index, body)
					}
				}
				state, err := m.state()
				if err != nil {
					t.Fatal(err)
				}
				fmt.Fprintf(&states, "%02d up to %d: %s\n", shard, last, state)
			}
			transcript.Compare(t, name+".states.txt", states.String())
		})
	}
}

// TestANodeGoesOnWithAFolderOfBefore has real nodes start on the folders.
func TestANodeGoesOnWithAFolderOfBefore(t *testing.T) {
	t.Run("alone", func(t *testing.T) {
		_, api, _ := start(t, copied(t, "alone"), map[string]string{"name": "alone"})
		await(t, "the node is ready", func() bool {
			_, ready := get(t, "http://"+api+"/v1/ready")
			return strings.Contains(ready, "ready")
		})
		var out strings.Builder
		for _, path := range []string{
			"changes/c1", "changes/c2", "changes/c3", "changes/c4", "keys?name=apps/key2", "keys/list?prefix=apps/", "keys/list?prefix=other/",
			"counters?name=apps/count", "counters?name=apps/below", "locks?name=apps/lock", "locks?name=apps/freed", "elections?name=apps/chief",
		} {
			status, text := get(t, "http://"+api+"/v1/"+path)
			if strings.HasPrefix(path, "keys/list") {
				_, text, _ = strings.Cut(text, ",") // up to where the shard has come by now
			}
			fmt.Fprintf(&out, "%s %d %s\n", path, status, strings.TrimSpace(text))
		}
		var epoch struct {
			Changed uint64
			Config  json.RawMessage
		}
		if _, text := get(t, "http://"+api+"/v1/epoch"); json.Unmarshal([]byte(text), &epoch) != nil {
			t.Fatal(text)
		}
		fmt.Fprintf(&out, "epoch %d %s\n", epoch.Changed, epoch.Config)
		transcript.Compare(t, "alone.answers.txt", out.String()+members(t, api))
	})
	t.Run("core1", func(t *testing.T) {
		_, api, _ := start(t, copied(t, "core1"), map[string]string{"name": "core1", "bootstrap.cores": "3"})
		var parts struct{ Rows [][]string }
		if _, text := get(t, "http://"+api+"/v1/show/parts"); json.Unmarshal([]byte(text), &parts) != nil {
			t.Fatal(text)
		}
		var out strings.Builder
		for _, row := range parts.Rows { // part owner term commit last serving age group
			fmt.Fprintln(&out, row[0], row[2], row[3], row[4], row[7])
		}
		transcript.Compare(t, "core1.answers.txt", out.String()+members(t, api))
	})
}

// members is name, id and fleet of those that a node knows.
func members(t *testing.T, api string) (list string) {
	t.Helper()
	var rows struct{ Rows [][]string }
	if _, text := get(t, "http://"+api+"/v1/show/members"); json.Unmarshal([]byte(text), &rows) != nil {
		t.Fatal(text)
	}
	for _, row := range rows.Rows {
		list += strings.Join([]string{"member", row[0], row[7], row[8]}, " ") + "\n"
	}
	return list
}
