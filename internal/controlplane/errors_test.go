package controlplane

import (
	"encoding/json"
	"errors"
	"testing"

	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// damagedEpoch returns an epoch in which one group contains JSON of the wrong type.
func damagedEpoch(group string) *EpochState {
	data := json.RawMessage(`"damaged"`)
	return &EpochState{Epoch: 7, Groups: map[string]rpc.Group{group: {Digest: Digest(data), Data: data}}}
}

func TestEpochState_ReturnsErrorForDamagedGroup(t *testing.T) {
	services := []rpc.Service{{Name: "s"}}
	provisional := map[ids.Shard]*shardReport{ids.ShardOf("s"): {ShardTargets: rpc.ShardTargets{Provisional: true, Targets: targetLists{}}}}
	config := func(e *EpochState) error { _, err := e.Config(); return err }
	view := func(e *EpochState) error { _, err := e.View(); return err }
	for name, c := range map[string]struct {
		group string
		read  func(*EpochState) error
	}{
		"targets":          {TargetsPrefix + "s", func(e *EpochState) error { _, err := e.Targets("s"); return err }},
		"view: targets":    {TargetsPrefix + "s", view},
		"view: shares":     {SharesGroup, view},
		"view: services":   {ServicesGroup, view},
		"config: routes":   {RoutesPrefix + "03", config},
		"config: services": {ServicesGroup, config},
		"config: limits":   {LimitsGroup, config},
		"config: clients":  {ClientLimitsGroup, config},
		"config: sources":  {SourcesPrefix + "03", config},
		"resolved targets": {TargetsPrefix + "s", func(e *EpochState) error { _, err := resolveTargets(e, services, provisional); return err }},
		"other targets":    {TargetsPrefix + "t", func(e *EpochState) error { _, err := resolveTargets(e, services, nil); return err }},
		"previous targets": {TargetsPrefix + "s", func(e *EpochState) error { _, err := previousTargets(e, ids.ShardOf("s")); return err }},
		"services":         {ServicesGroup, func(e *EpochState) error { _, _, err := operatorGroups(e, nil); return err }},
	} {
		t.Run(name, func(t *testing.T) {
			var damage *DamagedGroupError
			if err := c.read(damagedEpoch(c.group)); !errors.As(err, &damage) || damage.Group != c.group || damage.Epoch != 7 {
				t.Errorf("%v, want %s of epoch 7", err, c.group)
			}
		})
	}
}

func TestConfigState_DamageIsReportedOnce(t *testing.T) {
	c := NewConfigState()
	var reported []error
	c.OnDamage = func(err error) { reported = append(reported, err) }
	list := func(text string) map[string]json.RawMessage {
		return map[string]json.RawMessage{TargetsPrefix + "s": json.RawMessage(text)}
	}
	apply(t, c, &rpc.EpochEntry{Epoch: 1, Put: list(`[{"instance":"a","address":"A","weight":1}]`)})
	if len(reported) != 0 {
		t.Fatal(reported)
	}
	// The epoch was committed, so it is applied; it is binding because it may remove targets.
	if epoch := apply(t, c, &rpc.EpochEntry{Epoch: 2, Put: list(`{}`)}); epoch.Epoch != 2 || epoch.LastBinding != 2 {
		t.Errorf("epoch %d, binding %d", epoch.Epoch, epoch.LastBinding)
	}
	_, err := c.Current().Targets("s")
	c.reportDamage(err)
	c.reportDamage(err)
	var group *DamagedGroupError
	if len(reported) != 1 || !errors.As(reported[0], &group) || group.Group != TargetsPrefix+"s" {
		t.Fatal(reported)
	}
	var entry *DamagedEntryError
	result, _ := c.Apply(3, json.RawMessage(`[]`)).(error)
	if !errors.As(result, &entry) || entry.Index != 3 || c.Current().Epoch != 2 {
		t.Errorf("%v, epoch %d", result, c.Current().Epoch)
	}
	if len(reported) != 2 || !errors.As(reported[1], &entry) {
		t.Error(reported)
	}
}

func TestTargetRegistry_DamagedListDoesNotHideOtherServices(t *testing.T) {
	r := newRegistry(t, nil)
	var reported []error
	r.state.OnDamage = func(err error) { reported = append(reported, err) }
	r.state.current = damagedEpoch(TargetsPrefix + "s")
	if service := r.ServiceOf("a"); service != "" || len(reported) != 1 {
		t.Errorf("%q %v", service, reported)
	}
	r.state.current.Groups[TargetsPrefix+"t"] = rpc.Group{Data: json.RawMessage(`[{"instance":"a"}]`)}
	if service := r.ServiceOf("a"); service != "t" {
		t.Errorf("%q", service)
	}
}
