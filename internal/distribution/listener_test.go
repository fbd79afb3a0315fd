package distribution

import (
	"context"
	"errors"
	"maps"
	"reflect"
	"slices"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/sumactrestle/sumactrestle/internal/controlplane"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/membership"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

func TestNearestSources(t *testing.T) {
	for _, test := range []struct {
		zones string // of the control nodes, nearest first
		limit int
		want  string
	}{
		{"", 2, ""},
		{"aab", 0, "aab"},
		{"aab", 3, "aab"},
		{"aab", 2, "ab"},
		{"aab", 1, "a"},
		{"aabc", 3, "aab"},
		{"aaabc", 3, "aab"},
		{"aaaa", 2, "aa"},
		{"bcd", 2, "bc"},
	} {
		var sources []rpc.Member
		for i, zone := range strings.Split(test.zones, "") {
			sources = append(sources, rpc.Member{Name: ids.NodeName(rune('0' + i)), Zone: zone})
		}
		original := slices.Clone(sources)
		got := ""
		for _, source := range nearestSources(sources, test.limit, "a") {
			got += source.Zone
		}
		if got != test.want || !reflect.DeepEqual(sources, original) {
			t.Errorf("limit %d, zones %q: selected %q, want %q, with the input unmodified", test.limit, test.zones, got, test.want)
		}
	}
}

func TestApplyChanges_YieldsManifestOfEpoch(t *testing.T) {
	epochs := newEpochs(t, 3)
	for _, test := range []struct {
		name     string
		previous map[string]rpc.GroupVersion
		epoch    *controlplane.EpochState
	}{
		{"from empty", nil, epochs[2]},
		{"group added", epochs[0].Manifest(), epochs[2]},
		{"group removed", epochs[2].Manifest(), epochs[0]},
		{"unchanged", epochs[1].Manifest(), epochs[1]},
	} {
		t.Run(test.name, func(t *testing.T) {
			original := maps.Clone(test.previous)
			if got := applyChanges(test.previous, changesSince(test.epoch, test.previous)); !maps.Equal(got, test.epoch.Manifest()) {
				t.Errorf("manifest is %v, want %v", got, test.epoch.Manifest())
			}
			if !maps.Equal(test.previous, original) {
				t.Error("the previous manifest was modified")
			}
		})
	}
}

// fakeServer records the requests of a client and responds by its listen and fetch functions.
type fakeServer struct {
	listens []rpc.ListenRequest
	fetches []rpc.FetchRequest

	listen func(*rpc.ListenRequest) *rpc.ListenResponse
	fetch  func(*rpc.FetchRequest) *rpc.FetchResponse
}

const serverAddress = "10.0.0.1:1"

// newTestClient returns a client that is not started, and serves server at serverAddress.
func newTestClient(t *testing.T, ctx context.Context, server *fakeServer) *Client {
	t.Helper()
	network := newFakeNetwork()
	transport := rpc.New(network.environment(t, ctx, "core", serverAddress))
	rpc.Handle(transport, "flow.listen", func(_ context.Context, request *rpc.ListenRequest) (*rpc.ListenResponse, error) {
		server.listens = append(server.listens, *request)
		return server.listen(request), nil
	})
	rpc.Handle(transport, "flow.fetch", func(_ context.Context, request *rpc.FetchRequest) (*rpc.FetchResponse, error) {
		server.fetches = append(server.fetches, *request)
		return server.fetch(request), nil
	})
	if err := transport.Start(); err != nil {
		t.Fatal(err)
	}
	env := network.environment(t, ctx, "proxy", "10.0.0.9:7")
	t.Cleanup(env.Shutdown)
	caller := rpc.New(env)
	return NewClient(env, caller, membership.New(env, caller, rpc.Member{Name: "proxy", ID: "p", RPCAddress: "10.0.0.9:7", Zone: "a"}))
}

func publishedGroups(epoch *controlplane.EpochState, names ...string) map[string]rpc.Group {
	groups := map[string]rpc.Group{}
	for _, name := range names {
		if group, ok := epoch.PublishedGroup(name); ok {
			groups[name] = group
		}
	}
	return groups
}

func TestPoll_FetchesOnlyChangedGroups(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		epochs := newEpochs(t, 2)
		server := &fakeServer{
			listen: func(*rpc.ListenRequest) *rpc.ListenResponse { return changesSince(epochs[1], epochs[0].Manifest()) },
			fetch: func(request *rpc.FetchRequest) *rpc.FetchResponse {
				return &rpc.FetchResponse{Epoch: 2, Groups: publishedGroups(epochs[1], request.Groups...)}
			},
		}
		c := newTestClient(t, ctx, server)
		c.Cache.Stage(epochs[0].Groups)
		if ok, err := c.Cache.Activate(1, epochs[0].Manifest()); !ok || err != nil {
			t.Fatal(ok, err)
		}
		if changed, err := c.poll(ctx, serverAddress); !changed || err != nil || c.Cache.Epoch() != 2 {
			t.Fatalf("epoch %d, changed %v, error %v; want epoch 2, changed", c.Cache.Epoch(), changed, err)
		}
		if len(server.listens) != 1 || server.listens[0].CombinedDigest == "" || server.listens[0].Versions != nil {
			t.Errorf("listener requests are %+v", server.listens)
		}
		want := []string{controlplane.LimitsGroup, controlplane.RoutesPrefix + "2"}
		if len(server.fetches) != 1 || !slices.Equal(server.fetches[0].Groups, want) {
			t.Errorf("fetch requests are %+v, want one for %v", server.fetches, want)
		}
	})
}

func TestPoll_ListsVersionsIfServerDoesNotKnowEpoch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		epochs := newEpochs(t, 1)
		server := &fakeServer{listen: func(request *rpc.ListenRequest) *rpc.ListenResponse {
			return &rpc.ListenResponse{Epoch: request.Epoch, UnknownDigest: request.CombinedDigest != ""}
		}}
		c := newTestClient(t, ctx, server)
		c.Cache.Stage(epochs[0].Groups)
		if ok, err := c.Cache.Activate(1, epochs[0].Manifest()); !ok || err != nil {
			t.Fatal(ok, err)
		}
		if _, err := c.poll(ctx, serverAddress); err != nil {
			t.Fatal(err)
		}
		if len(server.listens) != 2 || server.listens[1].CombinedDigest != "" || !maps.Equal(server.listens[1].Versions, epochs[0].Manifest()) {
			t.Errorf("listener requests are %+v", server.listens)
		}
	})
}

func TestPoll_FetchesFullGroupIfDeltaDoesNotApply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		const name = controlplane.TargetsPrefix + "s"
		full := group(`[{"instance":"i","address":"10.0.0.1:1","zone":"a","weight":1}]`, 2)
		inapplicable := rpc.Group{Digest: full.Digest, Index: 2, BaseDigest: group(`[]`, 1).Digest, RemovedTargets: []string{"i"}}
		server := &fakeServer{
			listen: func(*rpc.ListenRequest) *rpc.ListenResponse {
				return &rpc.ListenResponse{Epoch: 2, Changed: manifest(map[string]rpc.Group{name: full})}
			},
			fetch: func(request *rpc.FetchRequest) *rpc.FetchResponse {
				if len(request.HeldDigests) > 0 {
					return &rpc.FetchResponse{Epoch: 2, Groups: map[string]rpc.Group{name: inapplicable}}
				}
				return &rpc.FetchResponse{Epoch: 2, Groups: map[string]rpc.Group{name: full}}
			},
		}
		c := newTestClient(t, ctx, server)
		groups := map[string]rpc.Group{name: group(`[]`, 1)}
		c.Cache.Stage(groups)
		activate(t, c.Cache, 1, groups, true)
		if _, err := c.poll(ctx, serverAddress); err != nil || len(server.fetches) != 2 || len(c.Cache.Snapshot().Targets["s"]) != 1 {
			t.Errorf("error %v, fetch requests %+v, snapshot %+v", err, server.fetches, c.Cache.Snapshot())
		}
	})
}

func TestPoll_ReportsUndecodableEpoch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		broken := map[string]rpc.Group{controlplane.LimitsGroup: group(`{"not":"a list"}`, 1)}
		server := &fakeServer{
			listen: func(*rpc.ListenRequest) *rpc.ListenResponse {
				return &rpc.ListenResponse{Epoch: 1, Changed: manifest(broken)}
			},
			fetch: func(*rpc.FetchRequest) *rpc.FetchResponse { return &rpc.FetchResponse{Epoch: 1, Groups: broken} },
		}
		c := newTestClient(t, ctx, server)
		if _, err := c.poll(ctx, serverAddress); !errors.Is(err, errcode.InvalidMessage) || c.Cache.Snapshot() != nil {
			t.Errorf("error %v, snapshot %+v; want InvalidMessage and none", err, c.Cache.Snapshot())
		}
	})
}
