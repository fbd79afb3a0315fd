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

func group(data string, index ids.Index) rpc.Group {
	return rpc.Group{Digest: controlplane.Digest([]byte(data)), Index: index, Data: json.RawMessage(data)}
}

func manifest(groups map[string]rpc.Group) map[string]rpc.GroupVersion {
	m := map[string]rpc.GroupVersion{}
	for name, g := range groups {
		m[name] = rpc.GroupVersion{Digest: g.Digest, Index: g.Index}
	}
	return m
}

func activate(t *testing.T, c *Cache, epoch ids.Epoch, groups map[string]rpc.Group, want bool) {
	t.Helper()
	got, err := c.Activate(epoch, manifest(groups))
	if err != nil || got != want {
		t.Fatalf("epoch %d: activated %v, want %v (%v)", epoch, got, want, err)
	}
}

func TestCache_ActivatesOnlyCompleteAndNewerEpochs(t *testing.T) {
	c := NewCache(eventlog.New(io.Discard, "info", "n"))
	var notified []ids.Epoch
	c.Subscribe(func(snapshot *Snapshot) { notified = append(notified, snapshot.Epoch) })
	firstGroups := map[string]rpc.Group{"services": group(`[{"name":"a"}]`, 3), "targets/a": group(`[]`, 3)}
	activate(t, c, 3, firstGroups, false)
	c.Stage(map[string]rpc.Group{"services": firstGroups["services"]})
	activate(t, c, 3, firstGroups, false)
	c.Stage(map[string]rpc.Group{"targets/a": firstGroups["targets/a"]})
	activate(t, c, 3, firstGroups, true)
	secondGroups := map[string]rpc.Group{"services": firstGroups["services"], "targets/a": group(`[{"instance":"i","address":"x","zone":"","weight":1}]`, 5)}
	c.Stage(secondGroups)
	activate(t, c, 5, secondGroups, true)
	c.Stage(firstGroups)
	activate(t, c, 3, firstGroups, false)
	activate(t, c, 4, firstGroups, false)
	activate(t, c, 4, secondGroups, false)
	activate(t, c, 5, secondGroups, false)
	if len(c.Snapshot().Targets["a"]) != 1 || c.Snapshot().Epoch != 5 {
		t.Fatalf("snapshot is %+v, want epoch 5 with one target", c.Snapshot())
	}
	if len(notified) != 2 || notified[0] != 3 || notified[1] != 5 {
		t.Fatalf("subscribers were notified of epochs %v, want 3 and 5", notified)
	}
}

func TestCache_RejectsDigestMismatchAndOlderGroup(t *testing.T) {
	c := NewCache(eventlog.New(io.Discard, "info", "n"))
	forged := group(`[]`, 2)
	forged.Data = json.RawMessage(`[{"name":"forged"}]`)
	if c.Stage(map[string]rpc.Group{"services": forged}) {
		t.Fatal("a group whose data does not match its digest was staged")
	}
	old := group(`[{"name":"old"}]`, 1)
	c.Stage(map[string]rpc.Group{"services": group(`[]`, 2)})
	if c.Stage(map[string]rpc.Group{"services": old}) {
		t.Fatal("an older group replaced a newer one")
	}
}
