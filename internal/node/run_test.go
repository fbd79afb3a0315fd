package node

import (
	"os"
	"path/filepath"
	"testing"
	"time"
)

func TestModificationTime_TellsStatesOfAFileApart(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings")
	if err := os.WriteFile(path, []byte("name: core1"), 0o600); err != nil {
		t.Fatal(err)
	}
	first := modificationTime(path)
	if err := os.Chtimes(path, time.Time{}, time.Unix(1, 0)); err != nil {
		t.Fatal(err)
	}
	if now := modificationTime(path); now == first || now != modificationTime(path) {
		t.Error(first, now)
	}
	if modificationTime(path+".none") != "" {
		t.Error("there is no such file")
	}
}
