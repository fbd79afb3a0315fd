// The data folder under damage: nothing damaged is ever served from, what was
// synced survives, and a torn end is no damage.
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

func open(t *testing.T, folder string) (*Store, *environment.Environment, *bytes.Buffer) {
	t.Helper()
	var log bytes.Buffer
	p := &config.Props{Name: "n", DataFolder: folder, LogLevel: "info"}
	r := environment.New(context.Background(), p, eventlog.New(&log, "info", "n"), environment.NewHost(""))
	l, err := Open(r)
	if err != nil {
		t.Fatal(err)
	}
	return l, r, &log
}

func put(t *testing.T, l *Store, n int) {
	t.Helper()
	w := l.NewBatch()
	w.Put(fmt.Sprintf("k/%04d", n), bytes.Repeat([]byte{byte(n)}, 100))
	l.Submit(w)
	if err := w.Wait(); err != nil {
		t.Fatal(err)
	}
}

func count(t *testing.T, l *Store) (n int) {
	t.Helper()
	if err := l.Scan("k/", func(string, []byte) error { n++; return nil }); err != nil {
		t.Fatal(err)
	}
	return n
}

// journal is the newest journal file of a folder.
func journal(t *testing.T, folder string) string {
	t.Helper()
	names, _ := filepath.Glob(filepath.Join(folder, "lore", "*.log"))
	if len(names) == 0 {
		t.Fatal("no journal")
	}
	return names[len(names)-1]
}

func TestSyncedBatchesSurvive(t *testing.T) {
	folder := t.TempDir()
	l, r, _ := open(t, folder)
	for i := range 50 {
		put(t, l, i)
	}
	r.Shutdown()
	l, r, log := open(t, folder)
	defer r.Shutdown()
	if n := count(t, l); n != 50 || l.ReplacesCorrupt() {
		t.Fatalf("%d of 50 are there, %s", n, log)
	}
}

func TestTornEndIsDropped(t *testing.T) {
	folder := t.TempDir()
	l, r, _ := open(t, folder)
	for i := range 50 {
		put(t, l, i)
	}
	r.Shutdown()
	name := journal(t, folder)
	raw, _ := os.ReadFile(name)
	os.WriteFile(name, raw[:len(raw)-60], 0o644)
	l, r, log := open(t, folder)
	defer r.Shutdown()
	if n := count(t, l); n != 49 || l.ReplacesCorrupt() {
		t.Fatalf("%d of 49 are there, %s", n, log)
	}
}

func TestDamageInTheMiddleIsRefusedAndSetAside(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "data")
	os.MkdirAll(folder, 0o755)
	l, r, _ := open(t, folder)
	for i := range 2000 {
		put(t, l, i)
	}
	r.Shutdown()
	name := journal(t, folder)
	raw, _ := os.ReadFile(name)
	raw[len(raw)/2] ^= 0xff
	os.WriteFile(name, raw, 0o644)
	l, r, log := open(t, folder)
	defer r.Shutdown()
	if n := count(t, l); n != 0 {
		t.Fatalf("%d keys are served from a damaged folder", n)
	}
	if !strings.Contains(log.String(), `"event":306`) || !l.ReplacesCorrupt() {
		t.Fatalf("the damage is not reported: %s", log)
	}
	if aside, _ := filepath.Glob(folder + ".damaged-*"); len(aside) != 1 {
		t.Fatalf("set aside: %v", aside)
	}
	put(t, l, 1)
}

func TestAFolderInUseIsLeftAlone(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "data")
	os.MkdirAll(folder, 0o755)
	l, r, _ := open(t, folder)
	defer r.Shutdown()
	put(t, l, 1)
	var log bytes.Buffer
	second := environment.New(context.Background(), r.Config, eventlog.New(&log, "info", "n"), environment.NewHost(""))
	defer second.Shutdown()
	if _, err := Open(second); err == nil {
		t.Fatal("two processes have one folder")
	}
	if aside, _ := filepath.Glob(folder + ".damaged-*"); len(aside) != 0 {
		t.Fatalf("a folder in use was set aside: %v", aside)
	}
	put(t, l, 2)
}
