package controlplane

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"

	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

func routeFrom(name, source string) rpc.Route {
	return rpc.Route{Name: name, Path: "/" + name, Services: []rpc.WeightedService{{Service: "s", Weight: 1}}, Source: json.RawMessage(source)}
}

func sourcesOf(t *testing.T, epoch *EpochState) map[string]string {
	t.Helper()
	texts := map[string]string{}
	c, err := epoch.Config()
	if err != nil {
		t.Fatal(err)
	}
	for _, route := range c.Routes {
		texts["mappings/"+route.Name] = string(route.Source)
	}
	for _, service := range c.Services {
		texts["services/"+service.Name] = string(service.Source)
	}
	if c.ClientLimits != nil {
		texts["manners"] = string(c.ClientLimits.Source)
	}
	return texts
}

func wantSources(t *testing.T, epoch *EpochState, want map[string]string) {
	t.Helper()
	if got := sourcesOf(t, epoch); !reflect.DeepEqual(got, want) {
		t.Errorf("sources %v, want %v", got, want)
	}
	wantCount := 0
	for _, text := range want {
		if text != "" {
			wantCount++
		}
	}
	if sources, err := epoch.sources(); err != nil || len(sources) != wantCount {
		t.Errorf("%d sources are stored, want %d: %v", len(sources), wantCount, err)
	}
	for name := range epoch.Manifest() {
		if strings.HasPrefix(name, SourcesPrefix) {
			t.Errorf("the manifest contains %s", name)
		}
	}
	for name := range epoch.Groups {
		group, ok := epoch.PublishedGroup(name)
		if ok == strings.HasPrefix(name, SourcesPrefix) || ok && strings.Contains(string(group.Data), "source") {
			t.Errorf("%s is published: %v %s", name, ok, group.Data)
		}
	}
	view, err := epoch.View()
	if err != nil {
		t.Fatal(err)
	}
	raw, err := json.Marshal(view)
	if err != nil || strings.Contains(string(raw), `"source"`) {
		t.Errorf("the view shows a source: %s %v", raw, err)
	}
}

func TestConfigState_ReturnsSourcesWithoutPublishingThem(t *testing.T) {
	c := NewConfigState()
	put := rpc.Configuration{
		Routes:       []rpc.Route{routeFrom("a", `{"x":1}`), routeFrom("b", `{"x":2}`), routeFrom("c", "")},
		Services:     []rpc.Service{{Name: "s", Source: json.RawMessage(`{"y":1}`)}, {Name: "t"}},
		ClientLimits: &rpc.ClientLimits{BodyBytes: 1, Source: json.RawMessage(`{"z":1}`)},
	}
	want := map[string]string{"mappings/a": `{"x":1}`, "mappings/b": `{"x":2}`, "mappings/c": "", "services/s": `{"y":1}`, "services/t": "", "manners": `{"z":1}`}
	epoch := commit(t, c, &rpc.ChangeSet{ID: "1", Put: put})
	wantSources(t, epoch, want)
	if string(put.Routes[0].Source) == "" || string(put.ClientLimits.Source) == "" {
		t.Error("the change set was modified")
	}
	epoch = commit(t, c, &rpc.ChangeSet{ID: "2", Put: rpc.Configuration{Routes: []rpc.Route{routeFrom("a", `{"x":9}`)}}})
	want["mappings/a"] = `{"x":9}`
	wantSources(t, epoch, want)
	epoch = commit(t, c, &rpc.ChangeSet{ID: "3", Put: rpc.Configuration{Routes: []rpc.Route{routeFrom("a", "")}}, Remove: rpc.Removals{Routes: []string{"b"}}})
	want["mappings/a"] = ""
	delete(want, "mappings/b")
	wantSources(t, epoch, want)
	wantSources(t, restored(t, snapshot(t, c)).Current(), want)
	epoch = commit(t, c, &rpc.ChangeSet{ID: "4", Complete: true, Put: rpc.Configuration{Services: []rpc.Service{{Name: "s"}}}})
	wantSources(t, epoch, map[string]string{"services/s": ""})
	for name := range epoch.Groups {
		if strings.HasPrefix(name, SourcesPrefix) || name == ClientLimitsGroup {
			t.Errorf("group %s was not removed", name)
		}
	}
}
