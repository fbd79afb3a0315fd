package distribution

import (
	"encoding/json"
	"fmt"
	"reflect"
	"testing"

	"github.com/sumactrestle/sumactrestle/internal/controlplane"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// newEpochs returns the first n epochs of a state; each has one group more than the last.
func newEpochs(t *testing.T, n int) (list []*controlplane.EpochState) {
	state := controlplane.NewConfigState()
	for epoch := ids.Epoch(1); epoch <= ids.Epoch(n); epoch++ {
		body, _ := json.Marshal(rpc.EpochEntry{Epoch: epoch, Put: map[string]json.RawMessage{
			fmt.Sprint(controlplane.RoutesPrefix, epoch): json.RawMessage(`[]`), controlplane.LimitsGroup: json.RawMessage(fmt.Sprintf(`[{"service":"s<%d>"}]`, epoch))}})
		if err := state.Apply(ids.Index(epoch), body); err != nil {
			t.Fatal("not taken", epoch, err)
		}
		list = append(list, state.Current())
	}
	return list
}

func TestGroupEncoder_EncodesEachEpochOnceForAll(t *testing.T) {
	epochs := newEpochs(t, 3)
	e := &groupEncoder{}
	first, err := e.epoch(epochs[1], false)
	if err != nil {
		t.Fatal(err)
	}
	again, _ := e.epoch(epochs[1], false)
	if &first[0] != &again[0] {
		t.Error("a second proxy's response is encoded anew")
	}
	kept := e.groups[controlplane.RoutesPrefix+"1"].encoded
	full, _ := e.epoch(epochs[2], false)
	if now := e.groups[controlplane.RoutesPrefix+"1"].encoded; &kept[0] != &now[0] {
		t.Error("a group that did not change is encoded anew")
	}
	want := &rpc.FetchResponse{Epoch: 3, Manifest: epochs[2].Manifest(), Groups: epochs[2].Groups}
	var got rpc.FetchResponse
	if err := json.Unmarshal(full, &got); err != nil || !reflect.DeepEqual(want, &got) {
		t.Errorf("%v: %s", err, full)
	}
	packed, err := e.epoch(epochs[2], true)
	if again, _ := e.epoch(epochs[2], true); err != nil || &packed[0] != &again[0] {
		t.Error("a second proxy's packed response is encoded anew", err)
	}
	for name, group := range got.Groups {
		if controlplane.Digest(group.Data) != group.Digest {
			t.Error("the digest is another's:", name)
		}
	}
}
