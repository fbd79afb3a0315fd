package distribution

import (
	"errors"
	"maps"
	"testing"

	"github.com/sumactrestle/sumactrestle/internal/controlplane"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

func TestNewSnapshot_SharesListsThatDidNotChange(t *testing.T) {
	groups := map[string]rpc.Group{
		controlplane.RoutesPrefix + "1":  group(`[{"name":"one","path":"/one","to":null}]`, 1),
		controlplane.TargetsPrefix + "s": group(`[{"instance":"i","address":"x","zone":"","weight":1}]`, 1),
	}
	first, err := newSnapshot(1, manifest(groups), groups, nil)
	if err != nil {
		t.Fatal(err)
	}
	next := maps.Clone(groups)
	next[controlplane.TargetsPrefix+"s"] = group(`[]`, 2)
	second, err := newSnapshot(2, manifest(next), next, first)
	if err != nil {
		t.Fatal(err)
	}
	const routes = controlplane.RoutesPrefix + "1"
	if &first.Routes[routes][0] != &second.Routes[routes][0] {
		t.Error("a list that did not change was decoded anew")
	}
	if len(first.Targets["s"]) != 1 || len(second.Targets["s"]) != 0 {
		t.Errorf("targets %v, then %v", first.Targets, second.Targets)
	}
}

func TestNewSnapshot_GroupThatCannotBeDecodedIsAnError(t *testing.T) {
	for _, name := range []string{
		controlplane.ServicesGroup, controlplane.LimitsGroup, controlplane.SharesGroup, controlplane.ClientLimitsGroup,
		controlplane.RoutesPrefix + "1", controlplane.TargetsPrefix + "s",
	} {
		t.Run(name, func(t *testing.T) {
			groups := map[string]rpc.Group{name: group(`"damaged"`, 1)}
			if snapshot, err := newSnapshot(1, manifest(groups), groups, nil); snapshot != nil || !errors.Is(err, errcode.InvalidMessage) {
				t.Errorf("%+v, %v", snapshot, err)
			}
		})
	}
}
