package harness

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestTrafficTotal_KeepsBytesAcrossRestarts(t *testing.T) {
	total := newTrafficTotal()
	total.add("a", map[string]volume{"beat": {1, 100}, "syncs": {9, 0}})
	total.add("b", map[string]volume{"beat": {1, 50}})
	total.add("a", map[string]volume{"beat": {2, 130}})
	total.add("b", nil)                                                 // no response
	total.add("a", map[string]volume{"beat": {1, 20}, "probe": {1, 5}}) // restarted
	total.add("b", map[string]volume{"beat": {1, 50}})
	if diff := cmp.Diff(map[string]int64{"beat": 200, "probe": 5}, total.bytes); diff != "" {
		t.Error(diff)
	}
}
