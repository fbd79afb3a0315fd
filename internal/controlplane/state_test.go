package controlplane

import (
	"encoding/json"
	"errors"
	"fmt"
	"testing"

	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

func TestConfigState_KeepsVersionAcrossSnapshotAndRepair(t *testing.T) {
	c := NewConfigState()
	for i, step := range []struct{ sent, want ids.Version }{{0, 0}, {3, 3}, {0, 3}, {8, 8}} {
		if got := commit(t, c, &rpc.ChangeSet{ID: string(rune('a' + i)), Version: step.sent}).Version; got != step.want {
			t.Errorf("%d: version %d, want %d", i, got, step.want)
		}
	}
	header, err := c.ExportRange(headerRange)
	if err != nil {
		t.Fatal(err)
	}
	loaded, repaired := restored(t, snapshot(t, c)), NewConfigState()
	if err := repaired.Repair(headerRange, header); err != nil {
		t.Fatal(err)
	}
	if loaded.Current().Version != 8 || repaired.Current().Version != 8 {
		t.Errorf("restored %d, repaired %d", loaded.Current().Version, repaired.Current().Version)
	}
	if loaded.RangeDigests()[headerRange] != c.RangeDigests()[headerRange] {
		t.Error("the headers differ")
	}
}

func TestConfigState_SkipsEpochsOutOfOrder(t *testing.T) {
	c := NewConfigState()
	apply(t, c, &rpc.EpochEntry{Epoch: 1})
	for _, epoch := range []ids.Epoch{0, 1, 3} {
		err, _ := c.Apply(2, mustMarshal(&rpc.EpochEntry{Epoch: epoch})).(error)
		if !errors.Is(err, ErrEpochOutOfOrder) || c.Current().Epoch != 1 {
			t.Errorf("epoch %d: %v, current epoch %d", epoch, err, c.Current().Epoch)
		}
	}
}

func TestConfigState_KeepsPreviousEpochsUpToALimit(t *testing.T) {
	c := NewConfigState()
	const last = maxPreviousEpochs + 10
	for epoch := ids.Epoch(1); epoch <= last; epoch++ {
		apply(t, c, &rpc.EpochEntry{Epoch: epoch, Put: map[string]json.RawMessage{LimitsGroup: json.RawMessage(fmt.Sprintf(`[{"service":"s%d"}]`, epoch))}})
	}
	for epoch, want := range map[ids.Epoch]bool{last: true, last - 1: true, last - maxPreviousEpochs: true, last - maxPreviousEpochs - 1: false, last + 1: false} {
		if got := c.AtEpoch(epoch); (got != nil) != want || got != nil && got.Epoch != epoch {
			t.Errorf("epoch %d: %v, want kept: %v", epoch, got, want)
		}
	}
	previous := c.AtEpoch(last - 1).Groups[LimitsGroup]
	if group, ok := c.previousGroup(LimitsGroup, previous.Digest); !ok || string(group.Data) != string(previous.Data) {
		t.Errorf("%v %s", ok, group.Data)
	}
}
