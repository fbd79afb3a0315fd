package distribution

import (
	"errors"
	"maps"
	"testing"

	"github.com/sumactrestle/sumactrestle/internal/controlplane"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

func TestNewSnapshot_SharesUnchangedLists(t *testing.T) {
	groups := map[string]rpc.Group{
		controlplane.RoutesPrefix + "1":  group(`[{"name":"one","path":"/one","to":null}]`, 1),
		controlplane.TargetsPrefix + "s": group(`[{"instance":"i","address":"x","zone":"","weight":1}]`, 1),
	}
	first, err := newSnapshot(1, manifest(groups), groups, nil)
	if err != nil {
		t.Fatal(err)
	}
	changed := maps.Clone(groups)
	changed[controlplane.TargetsPrefix+"s"] = group(`[]`, 2)
	second, err := newSnapshot(2, manifest(changed), changed, first)
	if err != nil {
		t.Fatal(err)
	}
	const routes = controlplane.RoutesPrefix + "1"
	if &first.Routes[routes][0] != &second.Routes[routes][0] {
		t.Error("an unchanged list was decoded again")
	}
	if len(first.Targets["s"]) != 1 || len(second.Targets["s"]) != 0 {
		t.Errorf("targets are %v, then %v; want one, then none", first.Targets, second.Targets)
	}
}

func TestNewSnapshot_ReportsUndecodableGroup(t *testing.T) {
	for _, name := range []string{
		controlplane.ServicesGroup, controlplane.LimitsGroup, controlplane.SharesGroup, controlplane.ClientLimitsGroup,
		controlplane.RoutesPrefix + "1", controlplane.TargetsPrefix + "s",
	} {
		t.Run(name, func(t *testing.T) {
			groups := map[string]rpc.Group{name: group(`"damaged"`, 1)}
			if snapshot, err := newSnapshot(1, manifest(groups), groups, nil); snapshot != nil || !errors.Is(err, errcode.InvalidMessage) {
				t.Errorf("snapshot %+v, error %v; want none and InvalidMessage", snapshot, err)
			}
		})
	}
}
