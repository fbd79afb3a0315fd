package storage

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sumactrestle/sumactrestle/internal/config"
	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/eventlog"
)

// testStore is a store on the real disk with its event log.
type testStore struct {
	*Store
	log *bytes.Buffer
}

func newEnvironment(folder string, log *bytes.Buffer) *environment.Environment {
	settings := &config.Settings{Name: "n", DataFolder: folder, LogLevel: "info"}
	return environment.New(context.Background(), settings, eventlog.New(log, "info", "n"), environment.NewHost(""))
}

// open opens a store; stop or the end of the test closes it.
func open(t *testing.T, folder string) *testStore {
	t.Helper()
	log := &bytes.Buffer{}
	env := newEnvironment(folder, log)
	t.Cleanup(env.Shutdown)
	s, err := Open(env)
	if err != nil {
		t.Fatal(err)
	}
	return &testStore{s, log}
}

func (s *testStore) stop() { s.env.Shutdown() }

// put writes the key with the given index and waits until it is synced.
func (s *testStore) put(t *testing.T, index int) {
	t.Helper()
	batch := s.NewBatch()
	batch.Put(fmt.Sprintf("k/%04d", index), bytes.Repeat([]byte{byte(index)}, 100))
	s.Submit(batch)
	if err := batch.Wait(); err != nil {
		t.Fatal(err)
	}
}

func (s *testStore) count(t *testing.T) (n int) {
	t.Helper()
	if err := s.Scan("k/", func(string, []byte) error { n++; return nil }); err != nil {
		t.Fatal(err)
	}
	return n
}

// newFolderWithKeys returns a closed data folder with the given number of keys, one per batch.
func newFolderWithKeys(t *testing.T, keys int) string {
	t.Helper()
	folder := filepath.Join(t.TempDir(), "data")
	if err := os.Mkdir(folder, 0o755); err != nil {
		t.Fatal(err)
	}
	s := open(t, folder)
	for index := range keys {
		s.put(t, index)
	}
	s.stop()
	return folder
}

// editJournal changes the newest journal file of a folder.
func editJournal(t *testing.T, folder string, edit func(raw []byte) []byte) {
	t.Helper()
	names, err := filepath.Glob(filepath.Join(folder, databaseFolder, "*.log"))
	if err != nil || len(names) == 0 {
		t.Fatal("no journal", err)
	}
	name := names[len(names)-1]
	raw, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(name, edit(raw), 0o644); err != nil {
		t.Fatal(err)
	}
}

// quarantinedFolders returns the folders to which a corrupt data folder was renamed.
func quarantinedFolders(t *testing.T, folder string) []string {
	t.Helper()
	names, err := filepath.Glob(folder + ".damaged-*")
	if err != nil {
		t.Fatal(err)
	}
	return names
}

// checkReplaced checks that a corrupt folder was quarantined and replaced by an empty one.
func checkReplaced(t *testing.T, s *testStore, folder string) {
	t.Helper()
	if n := s.count(t); n != 0 {
		t.Fatalf("%d keys are served from a corrupt folder", n)
	}
	if !strings.Contains(s.log.String(), `"event":306`) || !s.ReplacesCorruptStore() {
		t.Fatalf("the corruption is not reported: %s", s.log)
	}
	if quarantined := quarantinedFolders(t, folder); len(quarantined) != 1 {
		t.Fatalf("quarantined folders: %v, want one", quarantined)
	}
}

func TestOpen_KeepsSyncedBatches(t *testing.T) {
	s := open(t, newFolderWithKeys(t, 50))
	if n := s.count(t); n != 50 || s.ReplacesCorruptStore() {
		t.Fatalf("found %d of 50 keys, log: %s", n, s.log)
	}
}

func TestOpen_DropsTornLastBatch(t *testing.T) {
	folder := newFolderWithKeys(t, 50)
	editJournal(t, folder, func(raw []byte) []byte { return raw[:len(raw)-60] })
	s := open(t, folder)
	if n := s.count(t); n != 49 || s.ReplacesCorruptStore() {
		t.Fatalf("found %d of 49 keys, log: %s", n, s.log)
	}
}

func TestOpen_QuarantinesCorruptFolder(t *testing.T) {
	folder := newFolderWithKeys(t, 2000)
	editJournal(t, folder, func(raw []byte) []byte { raw[len(raw)/2] ^= 0xff; return raw })
	s := open(t, folder)
	checkReplaced(t, s, folder)
	s.put(t, 1)
	s.stop()
	if s := open(t, folder); !s.ReplacesCorruptStore() || s.count(t) != 1 {
		t.Error("after a restart, ReplacesCorruptStore or the data is lost")
	}
}

func TestOpen_MissingBatchIsCorruption(t *testing.T) {
	folder := newFolderWithKeys(t, 20)
	s := open(t, folder)
	if err := s.db.Delete(sequenceKey(10), nil); err != nil {
		t.Fatal(err)
	}
	s.stop()
	checkReplaced(t, open(t, folder), folder)
}

func TestOpen_KeepsBoundedSequenceHistory(t *testing.T) {
	s := open(t, newFolderWithKeys(t, sequenceHistory+100))
	numbers := 0
	if err := s.Scan(sequencePrefix, func(string, []byte) error { numbers++; return nil }); err != nil {
		t.Fatal(err)
	}
	if numbers != sequenceHistory || s.lastSequence != sequenceHistory+100 {
		t.Errorf("%d sequence numbers are kept, the last is %d", numbers, s.lastSequence)
	}
}

func TestOpen_DoesNotQuarantineFolderInUse(t *testing.T) {
	folder := newFolderWithKeys(t, 0)
	s := open(t, folder)
	s.put(t, 1)
	second := newEnvironment(folder, &bytes.Buffer{})
	defer second.Shutdown()
	if _, err := Open(second); err == nil {
		t.Fatal("opened a folder that is already in use")
	}
	if quarantined := quarantinedFolders(t, folder); len(quarantined) != 0 {
		t.Fatalf("a folder in use was quarantined: %v", quarantined)
	}
	s.put(t, 2)
}

func TestSubmit_BatchesReachTheDiskInOrder(t *testing.T) {
	s := open(t, t.TempDir())
	var batches []*Batch
	for value := range 100 {
		batch := s.NewBatch()
		if value%2 == 0 {
			batch.Put("key", []byte{byte(value)})
		} else {
			batch.Delete("key")
		}
		s.Submit(batch)
		batches = append(batches, batch)
	}
	last := s.NewBatch()
	last.Put("key", []byte("last"))
	s.Submit(last)
	for _, batch := range append(batches, last) {
		if err := batch.Wait(); err != nil {
			t.Fatal(err)
		}
	}
	if value, err := s.Get("key"); err != nil || string(value) != "last" {
		t.Errorf("value is %q, error %v", value, err)
	}
	if value, err := s.Get("another key"); err != nil || value != nil {
		t.Errorf("a missing key has the value %q, error %v", value, err)
	}
}
