package checker

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
)

func TestHistory_RoundTripsThroughFile(t *testing.T) {
	var out bytes.Buffer
	h := NewHistory(&out)
	for _, r := range validHistory() {
		h.Add(r)
	}
	path := filepath.Join(t.TempDir(), "history")
	if err := os.WriteFile(path, out.Bytes(), 0o600); err != nil {
		t.Fatal(err)
	}
	got, err := ReadHistory(path)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(h.Records(), got); diff != "" {
		t.Fatal(diff)
	}
}

func TestReadHistory_NamesTheDamagedLine(t *testing.T) {
	path := filepath.Join(t.TempDir(), "history")
	if err := os.WriteFile(path, []byte("{\"kind\":\"began\",\"at\":1}\n{\"kind\":"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := ReadHistory(path); !errors.Is(err, errcode.InvalidCall) || !strings.Contains(err.Error(), "line 2") {
		t.Fatal(err)
	}
	if _, err := ReadHistory(path + "-absent"); !errors.Is(err, errcode.InvalidCall) {
		t.Fatal(err)
	}
}

func TestMerge_SortsRecordsByTime(t *testing.T) {
	h := NewHistory(nil)
	h.Add(Record{At: 1, Note: "a"})
	h.Add(Record{At: 4, Note: "d"})
	h.Merge([]Record{{At: 2, Note: "b"}, {At: 2, Note: "c"}})
	order := ""
	for _, r := range h.Records() {
		order += r.Note
	}
	if order != "abcd" {
		t.Error(order)
	}
}
