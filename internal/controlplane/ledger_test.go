// The ledger keeps the operators' version and text; proxies get neither.
package controlplane

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"

	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// commit lays a change set over a ledger and applies the epoch.
func commit(t *testing.T, l *ConfigState, change *rpc.ChangeSet) *EpochState {
	t.Helper()
	sheet := l.Current()
	config, paths := MergeChange(sheet.Config(), change)
	if len(paths) > 0 {
		t.Fatal(paths)
	}
	planned := &rpc.EpochEntry{Epoch: sheet.Epoch + 1, Put: map[string]json.RawMessage{}, Change: &rpc.ChangeResult{ID: change.ID, Epoch: sheet.Epoch + 1, Version: change.Version}}
	diffGroups(planned, sheet, encodeGroups(config))
	raw, err := json.Marshal(planned)
	if err != nil || l.Apply(ids.Index(planned.Epoch), raw) != true {
		t.Fatal("not applied", err)
	}
	return l.Current()
}

func mappingFrom(name, source string) rpc.Route {
	return rpc.Route{Name: name, Path: "/" + name, Services: []rpc.WeightedService{{Service: "s", Weight: 1}}, Source: json.RawMessage(source)}
}

func sourcesOf(s *EpochState) map[string]string {
	texts := map[string]string{}
	c := s.Config()
	for _, m := range c.Routes {
		texts["mappings/"+m.Name] = string(m.Source)
	}
	for _, s := range c.Services {
		texts["services/"+s.Name] = string(s.Source)
	}
	if c.ClientLimits != nil {
		texts["manners"] = string(c.ClientLimits.Source)
	}
	return texts
}

func wantSources(t *testing.T, s *EpochState, want map[string]string) {
	t.Helper()
	if got := sourcesOf(s); !reflect.DeepEqual(got, want) {
		t.Errorf("sources %v, want %v", got, want)
	}
	kept := 0
	for _, text := range want {
		if text != "" {
			kept++
		}
	}
	if got := len(s.sources()); got != kept {
		t.Errorf("%d texts are kept, want %d", got, kept)
	}
	for name := range s.Manifest() {
		if strings.HasPrefix(name, SourcesPrefix) {
			t.Errorf("the manifest has %s", name)
		}
	}
	for name := range s.Groups {
		group, ok := s.PublishedGroup(name)
		if ok == strings.HasPrefix(name, SourcesPrefix) || ok && strings.Contains(string(group.Data), "source") {
			t.Errorf("%s is carried: %v %s", name, ok, group.Data)
		}
	}
	if raw, _ := json.Marshal(s.View()); strings.Contains(string(raw), `"source"`) {
		t.Errorf("the view shows a source: %s", raw)
	}
}

func TestSourcesComeBackAndAreNotCarried(t *testing.T) {
	l := NewConfigState()
	put := rpc.Configuration{
		Routes:       []rpc.Route{mappingFrom("a", `{"x":1}`), mappingFrom("b", `{"x":2}`), mappingFrom("c", "")},
		Services:     []rpc.Service{{Name: "s", Source: json.RawMessage(`{"y":1}`)}, {Name: "t"}},
		ClientLimits: &rpc.ClientLimits{BodyBytes: 1, Source: json.RawMessage(`{"z":1}`)},
	}
	want := map[string]string{"mappings/a": `{"x":1}`, "mappings/b": `{"x":2}`, "mappings/c": "", "services/s": `{"y":1}`, "services/t": "", "manners": `{"z":1}`}
	sheet := commit(t, l, &rpc.ChangeSet{ID: "1", Put: put})
	wantSources(t, sheet, want)
	if string(put.Routes[0].Source) == "" || string(put.ClientLimits.Source) == "" {
		t.Error("the change set itself was written to")
	}
	sheet = commit(t, l, &rpc.ChangeSet{ID: "2", Put: rpc.Configuration{Routes: []rpc.Route{mappingFrom("a", `{"x":9}`)}}})
	want["mappings/a"] = `{"x":9}`
	wantSources(t, sheet, want)
	sheet = commit(t, l, &rpc.ChangeSet{ID: "3", Put: rpc.Configuration{Routes: []rpc.Route{mappingFrom("a", "")}}, Remove: rpc.Removals{Routes: []string{"b"}}})
	want["mappings/a"] = ""
	delete(want, "mappings/b")
	wantSources(t, sheet, want)
	other := NewConfigState()
	raw, err := l.Snapshot()()
	if err != nil || other.Restore(raw) != nil {
		t.Fatal(err)
	}
	wantSources(t, other.Current(), want)
	sheet = commit(t, l, &rpc.ChangeSet{ID: "4", Complete: true, Put: rpc.Configuration{Services: []rpc.Service{{Name: "s"}}}})
	wantSources(t, sheet, map[string]string{"services/s": ""})
	for name := range sheet.Groups {
		if strings.HasPrefix(name, SourcesPrefix) || name == ClientLimitsGroup {
			t.Errorf("%s is left", name)
		}
	}
}

func TestTheVersionIsKept(t *testing.T) {
	l := NewConfigState()
	for i, c := range []struct{ sent, want ids.Version }{{0, 0}, {3, 3}, {0, 3}, {8, 8}} {
		if got := commit(t, l, &rpc.ChangeSet{ID: string(rune('a' + i)), Version: c.sent}).Version; got != c.want {
			t.Errorf("%d: version %d, want %d", i, got, c.want)
		}
	}
	raw, _ := l.Snapshot()()
	head, _ := l.ExportRange(headerRange)
	loaded, mended := NewConfigState(), NewConfigState()
	if loaded.Restore(raw) != nil || mended.Repair(headerRange, head) != nil {
		t.Fatal("not taken")
	}
	if loaded.Current().Version != 8 || mended.Current().Version != 8 {
		t.Errorf("loaded %d, mended %d", loaded.Current().Version, mended.Current().Version)
	}
	if loaded.RangeDigests()[headerRange] != l.RangeDigests()[headerRange] {
		t.Error("the heads differ")
	}
}
