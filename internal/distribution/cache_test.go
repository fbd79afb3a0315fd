// The cache replaces only by newer, swaps whole epochs only, and only upward.
package distribution

import (
	"encoding/json"
	"io"
	"testing"

	"github.com/sumactrestle/sumactrestle/internal/controlplane"
	"github.com/sumactrestle/sumactrestle/internal/eventlog"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

func group(data string, stamp ids.Index) rpc.Group {
	return rpc.Group{Digest: controlplane.Digest([]byte(data)), Index: stamp, Data: json.RawMessage(data)}
}

func manifest(groups map[string]rpc.Group) map[string]rpc.GroupVersion {
	m := map[string]rpc.GroupVersion{}
	for name, g := range groups {
		m[name] = rpc.GroupVersion{Digest: g.Digest, Index: g.Index}
	}
	return m
}

func swap(t *testing.T, c *Cache, epoch ids.Epoch, groups map[string]rpc.Group, want bool) {
	t.Helper()
	got, err := c.Activate(epoch, manifest(groups))
	if err != nil || got != want {
		t.Fatalf("epoch %d: swapped %v, want %v (%v)", epoch, got, want, err)
	}
}

func TestOnlyWholeAndNewerEpochsAreSwappedIn(t *testing.T) {
	c := NewCache(eventlog.New(io.Discard, "info", "n"))
	var told []ids.Epoch
	c.Subscribe(func(snapshot *Snapshot) { told = append(told, snapshot.Epoch) })
	one := map[string]rpc.Group{"services": group(`[{"name":"a"}]`, 3), "targets/a": group(`[]`, 3)}
	swap(t, c, 3, one, false)
	c.Stage(map[string]rpc.Group{"services": one["services"]})
	swap(t, c, 3, one, false)
	c.Stage(map[string]rpc.Group{"targets/a": one["targets/a"]})
	swap(t, c, 3, one, true)
	two := map[string]rpc.Group{"services": one["services"], "targets/a": group(`[{"instance":"i","address":"x","zone":"","weight":1}]`, 5)}
	c.Stage(two)
	swap(t, c, 5, two, true)
	c.Stage(one)
	swap(t, c, 3, one, false)
	swap(t, c, 4, one, false)
	swap(t, c, 4, two, false)
	swap(t, c, 5, two, false)
	if len(c.Snapshot().Targets["a"]) != 1 || c.Snapshot().Epoch != 5 {
		t.Fatalf("%+v", c.Snapshot())
	}
	if len(told) != 2 || told[0] != 3 || told[1] != 5 {
		t.Fatalf("subscribers were told %v", told)
	}
}

func TestAGroupThatIsNotItsDigestIsLeftOut(t *testing.T) {
	c := NewCache(eventlog.New(io.Discard, "info", "n"))
	g := group(`[]`, 2)
	g.Data = json.RawMessage(`[{"name":"forged"}]`)
	if c.Stage(map[string]rpc.Group{"services": g}) {
		t.Fatal("a forged group was staged")
	}
	old := group(`[{"name":"old"}]`, 1)
	c.Stage(map[string]rpc.Group{"services": group(`[]`, 2)})
	if c.Stage(map[string]rpc.Group{"services": old}) {
		t.Fatal("an older group replaced a newer one")
	}
}
