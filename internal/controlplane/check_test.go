// What a change set may say, and when it has its place.
package controlplane

import (
	"strings"
	"testing"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

func version(v ids.Version) *ids.Version { return &v }

func TestAChangeSetIsJudgedByWhatIsInForce(t *testing.T) {
	sheet := &EpochState{Epoch: 9, LastChange: 7, Version: 5, Changes: []rpc.ChangeResult{{ID: "old", Digest: "d", Epoch: 7, Version: 5}}}
	for name, c := range map[string]struct {
		change rpc.ChangeSet
		digest string
		code   errcode.Code
		repeat bool
	}{
		"as today":                      {rpc.ChangeSet{ID: "a", BaseEpoch: 7}, "x", errcode.Code{}, false},
		"base too old":                  {rpc.ChangeSet{ID: "a", BaseEpoch: 6}, "x", errcode.ChangeConflict, false},
		"base to come":                  {rpc.ChangeSet{ID: "a", BaseEpoch: 10}, "x", errcode.ChangeConflict, false},
		"repeat":                        {rpc.ChangeSet{ID: "old", Version: 5, BaseVersion: version(1)}, "d", errcode.Code{}, true},
		"id used again":                 {rpc.ChangeSet{ID: "old", BaseEpoch: 7}, "other", errcode.ChangeReused, false},
		"over what is in force":         {rpc.ChangeSet{ID: "a", Version: 6, BaseVersion: version(5)}, "x", errcode.Code{}, false},
		"over, and no version":          {rpc.ChangeSet{ID: "a", BaseVersion: version(5)}, "x", errcode.Code{}, false},
		"over what is past":             {rpc.ChangeSet{ID: "a", BaseEpoch: 9, Version: 6, BaseVersion: version(4)}, "x", errcode.ChangeConflict, false},
		"over what is to come":          {rpc.ChangeSet{ID: "a", BaseEpoch: 9, Version: 7, BaseVersion: version(6)}, "x", errcode.ChangeConflict, false},
		"over none":                     {rpc.ChangeSet{ID: "a", Version: 6, BaseVersion: version(0)}, "x", errcode.ChangeConflict, false},
		"version that is there":         {rpc.ChangeSet{ID: "a", BaseEpoch: 9, Version: 5}, "x", errcode.BadChange, false},
		"version below":                 {rpc.ChangeSet{ID: "a", BaseEpoch: 9, Version: 4}, "x", errcode.BadChange, false},
		"version below, over it":        {rpc.ChangeSet{ID: "a", Version: 5, BaseVersion: version(5)}, "x", errcode.BadChange, false},
		"version below, over past":      {rpc.ChangeSet{ID: "a", Version: 5, BaseVersion: version(4)}, "x", errcode.ChangeConflict, false},
		"version above":                 {rpc.ChangeSet{ID: "a", BaseEpoch: 9, Version: 60}, "x", errcode.Code{}, false},
		"version above, base too old":   {rpc.ChangeSet{ID: "a", BaseEpoch: 6, Version: 6}, "x", errcode.ChangeConflict, false},
		"version below, base too old":   {rpc.ChangeSet{ID: "a", BaseEpoch: 6, Version: 5}, "x", errcode.BadChange, false},
		"over, and base isn't asked of": {rpc.ChangeSet{ID: "a", BaseEpoch: 99, BaseVersion: version(5)}, "x", errcode.Code{}, false},
	} {
		first, err := sheet.CheckPrecondition(&c.change, c.digest)
		if (c.code.No == 0) != (err == nil) || err != nil && !errcode.Is(err, c.code) {
			t.Errorf("%s: %v, want code %d", name, err, c.code.No)
		}
		if (first != nil) != c.repeat || c.repeat && (first.Epoch != 7 || first.Version != 5) {
			t.Errorf("%s: receipt %+v", name, first)
		}
	}
	_, err := sheet.CheckPrecondition(&rpc.ChangeSet{ID: "a", Version: 5, BaseVersion: version(5)}, "x")
	if paths := errcode.Of(err).Paths; len(paths) != 1 || paths[0] != "version: is not above 5, which is in force" {
		t.Errorf("%v", err)
	}
}

func TestEachFaultIsNamedByItsPath(t *testing.T) {
	mapping := func(m rpc.Route) rpc.Configuration {
		m.Name, m.Path, m.Services = "m", "/", []rpc.WeightedService{{Service: "s", Weight: 1}}
		return rpc.Configuration{Routes: []rpc.Route{m}, Services: []rpc.Service{{Name: "s"}}}
	}
	service := func(s rpc.Service) rpc.Configuration {
		s.Name = "s"
		return rpc.Configuration{Services: []rpc.Service{s}}
	}
	manners := func(m rpc.ClientLimits) rpc.Configuration { return rpc.Configuration{ClientLimits: &m} }
	for i, c := range []struct {
		put  rpc.Configuration
		path string
	}{
		{mapping(rpc.Route{}), ""},
		{mapping(rpc.Route{MaxAttempts: 16, Priority: 100, LatencyTargetMillis: 600_000}), ""},
		{mapping(rpc.Route{MaxAttempts: 17}), "mappings.m.tries"},
		{mapping(rpc.Route{MaxAttempts: -1}), "mappings.m.tries"},
		{mapping(rpc.Route{Priority: 101}), "mappings.m.priority"},
		{mapping(rpc.Route{Priority: -1}), "mappings.m.priority"},
		{mapping(rpc.Route{LatencyTargetMillis: 600_001}), "mappings.m.aim"},
		{mapping(rpc.Route{LatencyTargetMillis: -1}), "mappings.m.aim"},
		{mapping(rpc.Route{LatencyTargetMillis: 60_999, DeadlineMillis: 1000}), ""},
		{mapping(rpc.Route{LatencyTargetMillis: 61_000, DeadlineMillis: 1000}), "mappings.m.aim"},
		{service(rpc.Service{MaxConnections: 0}), ""},
		{service(rpc.Service{MaxConnections: -1}), "services.s.pipes"},
		{manners(rpc.ClientLimits{}), ""},
		{manners(rpc.ClientLimits{HeaderBytes: 1 << 10, BodyBytes: 1 << 40, HeaderTimeoutMillis: 600_000, IdleTimeoutMillis: 600_000}), ""},
		{manners(rpc.ClientLimits{HeaderBytes: 1 << 20}), ""},
		{manners(rpc.ClientLimits{HeaderBytes: 1<<10 - 1}), "manners.header"},
		{manners(rpc.ClientLimits{HeaderBytes: 1<<20 + 1}), "manners.header"},
		{manners(rpc.ClientLimits{HeaderBytes: -1}), "manners.header"},
		{manners(rpc.ClientLimits{BodyBytes: -1}), "manners.body"},
		{manners(rpc.ClientLimits{HeaderTimeoutMillis: -1}), "manners.header_time"},
		{manners(rpc.ClientLimits{HeaderTimeoutMillis: 600_001}), "manners.header_time"},
		{manners(rpc.ClientLimits{IdleTimeoutMillis: -1}), "manners.idle_time"},
		{manners(rpc.ClientLimits{IdleTimeoutMillis: 600_001}), "manners.idle_time"},
	} {
		_, paths := MergeChange(rpc.Configuration{}, &rpc.ChangeSet{ID: "c", Put: c.put})
		if c.path == "" && len(paths) != 0 || c.path != "" && (len(paths) != 1 || !strings.HasPrefix(paths[0], c.path+": ")) {
			t.Errorf("%d: %q, want %q", i, paths, c.path)
		}
	}
}

func TestMannersAndDropsAreLaid(t *testing.T) {
	old := rpc.Configuration{Services: []rpc.Service{{Name: "a"}, {Name: "b"}}, ClientLimits: &rpc.ClientLimits{BodyBytes: 1}}
	for name, c := range map[string]struct {
		change   rpc.ChangeSet
		body     int64
		services int
		faults   int
	}{
		"kept":             {rpc.ChangeSet{}, 1, 2, 0},
		"replaced":         {rpc.ChangeSet{Put: rpc.Configuration{ClientLimits: &rpc.ClientLimits{BodyBytes: 2}}}, 2, 2, 0},
		"whole":            {rpc.ChangeSet{Complete: true}, 0, 0, 0},
		"whole with some":  {rpc.ChangeSet{Complete: true, Put: rpc.Configuration{ClientLimits: &rpc.ClientLimits{BodyBytes: 3}}}, 3, 0, 0},
		"dropped":          {rpc.ChangeSet{Remove: rpc.Removals{Services: []string{"a"}}}, 1, 1, 0},
		"drop of no item":  {rpc.ChangeSet{Remove: rpc.Removals{Services: []string{"c"}}}, 1, 2, 1},
		"dropped and put":  {rpc.ChangeSet{Remove: rpc.Removals{Services: []string{"a"}}, Put: rpc.Configuration{Services: []rpc.Service{{Name: "a"}}}}, 1, 2, 1},
		"two put the same": {rpc.ChangeSet{Put: rpc.Configuration{Services: []rpc.Service{{Name: "c"}, {Name: "c"}}}}, 1, 4, 1},
	} {
		c.change.ID = "c"
		next, paths := MergeChange(old, &c.change)
		body := int64(0)
		if next.ClientLimits != nil {
			body = next.ClientLimits.BodyBytes
		}
		if body != c.body || len(next.Services) != c.services || len(paths) != c.faults {
			t.Errorf("%s: %+v %q", name, next, paths)
		}
	}
}
