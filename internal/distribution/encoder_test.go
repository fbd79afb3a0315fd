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

// newEpochs returns the first n epochs of a state. Each adds one routes group and changes the
// limits group.
func newEpochs(t *testing.T, n int) (epochs []*controlplane.EpochState) {
	state := controlplane.NewConfigState()
	for epoch := ids.Epoch(1); epoch <= ids.Epoch(n); epoch++ {
		body, _ := json.Marshal(rpc.EpochEntry{Epoch: epoch, Put: map[string]json.RawMessage{
			fmt.Sprint(controlplane.RoutesPrefix, epoch): json.RawMessage(`[]`), controlplane.LimitsGroup: json.RawMessage(fmt.Sprintf(`[{"service":"s<%d>"}]`, epoch))}})
		if err := state.Apply(ids.Index(epoch), body); err != nil {
			t.Fatal("could not apply epoch", epoch, err)
		}
		epochs = append(epochs, state.Current())
	}
	return epochs
}

func TestGroupEncoder_EncodesEachEpochOnce(t *testing.T) {
	epochs := newEpochs(t, 3)
	e := &groupEncoder{}
	encoded, err := e.encodeEpoch(epochs[1], false)
	if err != nil {
		t.Fatal(err)
	}
	repeated, _ := e.encodeEpoch(epochs[1], false)
	if &encoded[0] != &repeated[0] {
		t.Error("the response to a second proxy was encoded again")
	}
	before := e.groups[controlplane.RoutesPrefix+"1"].encoded
	full, _ := e.encodeEpoch(epochs[2], false)
	if after := e.groups[controlplane.RoutesPrefix+"1"].encoded; &before[0] != &after[0] {
		t.Error("an unchanged group was encoded again")
	}
	want := &rpc.FetchResponse{Epoch: 3, Manifest: epochs[2].Manifest(), Groups: epochs[2].Groups}
	var got rpc.FetchResponse
	if err := json.Unmarshal(full, &got); err != nil || !reflect.DeepEqual(want, &got) {
		t.Errorf("decoded response differs from the epoch (error %v): %s", err, full)
	}
	compressed, err := e.encodeEpoch(epochs[2], true)
	if repeated, _ := e.encodeEpoch(epochs[2], true); err != nil || &compressed[0] != &repeated[0] {
		t.Error("the compressed response to a second proxy was encoded again:", err)
	}
	for name, group := range got.Groups {
		if controlplane.Digest(group.Data) != group.Digest {
			t.Error("data does not match the digest of group", name)
		}
	}
}
