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

// testStore is a store on the real disk with its log of events.
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

// put writes the key of that index and waits until it is synced.
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

// folderWith returns a data folder, not in use, to which so many keys were written.
func folderWith(t *testing.T, keys int) string {
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

// setAside returns the folders that were set aside.
func setAside(t *testing.T, folder string) []string {
	t.Helper()
	names, err := filepath.Glob(folder + ".damaged-*")
	if err != nil {
		t.Fatal(err)
	}
	return names
}

// checkReplaced checks that an empty store took the place of a corrupt one.
func checkReplaced(t *testing.T, s *testStore, folder string) {
	t.Helper()
	if n := s.count(t); n != 0 {
		t.Fatalf("%d keys are served from a corrupt folder", n)
	}
	if !strings.Contains(s.log.String(), `"event":306`) || !s.ReplacesCorrupt() {
		t.Fatalf("the corruption is not reported: %s", s.log)
	}
	if aside := setAside(t, folder); len(aside) != 1 {
		t.Fatalf("set aside: %v", aside)
	}
}

func TestOpen_SyncedBatchesSurvive(t *testing.T) {
	s := open(t, folderWith(t, 50))
	if n := s.count(t); n != 50 || s.ReplacesCorrupt() {
		t.Fatalf("%d of 50 keys are there, %s", n, s.log)
	}
}

func TestOpen_TornEndIsDropped(t *testing.T) {
	folder := folderWith(t, 50)
	editJournal(t, folder, func(raw []byte) []byte { return raw[:len(raw)-60] })
	s := open(t, folder)
	if n := s.count(t); n != 49 || s.ReplacesCorrupt() {
		t.Fatalf("%d of 49 keys are there, %s", n, s.log)
	}
}

func TestOpen_CorruptFolderIsSetAside(t *testing.T) {
	folder := folderWith(t, 2000)
	editJournal(t, folder, func(raw []byte) []byte { raw[len(raw)/2] ^= 0xff; return raw })
	s := open(t, folder)
	checkReplaced(t, s, folder)
	s.put(t, 1)
	s.stop()
	if s := open(t, folder); !s.ReplacesCorrupt() || s.count(t) != 1 {
		t.Error("after a restart the store no longer knows that it replaces a corrupt one")
	}
}

func TestOpen_MissingBatchIsCorruption(t *testing.T) {
	folder := folderWith(t, 20)
	s := open(t, folder)
	if err := s.db.Delete(sequenceKey(10), nil); err != nil {
		t.Fatal(err)
	}
	s.stop()
	checkReplaced(t, open(t, folder), folder)
}

func TestOpen_SequenceNumbersAreBounded(t *testing.T) {
	s := open(t, folderWith(t, sequenceHistory+100))
	numbers := 0
	if err := s.Scan(sequencePrefix, func(string, []byte) error { numbers++; return nil }); err != nil {
		t.Fatal(err)
	}
	if numbers != sequenceHistory || s.lastSequence != sequenceHistory+100 {
		t.Errorf("%d numbers are kept, the last is %d", numbers, s.lastSequence)
	}
}

func TestOpen_FolderInUseIsLeftAlone(t *testing.T) {
	folder := folderWith(t, 0)
	s := open(t, folder)
	s.put(t, 1)
	second := newEnvironment(folder, &bytes.Buffer{})
	defer second.Shutdown()
	if _, err := Open(second); err == nil {
		t.Fatal("two processes have one folder")
	}
	if aside := setAside(t, folder); len(aside) != 0 {
		t.Fatalf("a folder in use was set aside: %v", aside)
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
		t.Errorf("the value is %q, %v", value, err)
	}
	if value, err := s.Get("another key"); err != nil || value != nil {
		t.Errorf("a key that is not there has the value %q, %v", value, err)
	}
}
