package node

import (
	"os"
	"path/filepath"
	"testing"
	"time"
)

func TestModificationTime_ChangesWithTheFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings")
	if err := os.WriteFile(path, []byte("name: core1"), 0o600); err != nil {
		t.Fatal(err)
	}
	first := modificationTime(path)
	if err := os.Chtimes(path, time.Time{}, time.Unix(1, 0)); err != nil {
		t.Fatal(err)
	}
	if second := modificationTime(path); second == first || second != modificationTime(path) {
		t.Error(first, second)
	}
	if modificationTime(path+".none") != "" {
		t.Error("a missing file has a modification time")
	}
}
