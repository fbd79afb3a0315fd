// What all nodes have sent, added up over nodes that go and come back.
package harness

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestTrafficTotal_NeverFallsOverRestarts(t *testing.T) {
	sum := trafficTotal{last: map[string]map[string]int64{}, total: map[string]int64{}}
	sum.add("a", map[string][2]int64{"beat": {1, 100}, "syncs": {9, 0}})
	sum.add("b", map[string][2]int64{"beat": {1, 50}})
	sum.add("a", map[string][2]int64{"beat": {2, 130}})
	sum.add("b", nil)                                                   // it does not answer
	sum.add("a", map[string][2]int64{"beat": {1, 20}, "probe": {1, 5}}) // started anew
	sum.add("b", map[string][2]int64{"beat": {1, 50}})
	if diff := cmp.Diff(map[string]int64{"beat": 200, "probe": 5}, sum.total); diff != "" {
		t.Error(diff)
	}
}
