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
	sheet := &EpochState{Epoch: 9, LastChange: 7, Version: 5, Changes: []rpc.ChangeReceipt{{Id: "old", Digest: "d", Epoch: 7, Version: 5}}}
	for name, c := range map[string]struct {
		change rpc.Change
		digest string
		code   errcode.Code
		repeat bool
	}{
		"as today":                      {rpc.Change{Id: "a", Base: 7}, "x", errcode.Code{}, false},
		"base too old":                  {rpc.Change{Id: "a", Base: 6}, "x", errcode.ChangeConflict, false},
		"base to come":                  {rpc.Change{Id: "a", Base: 10}, "x", errcode.ChangeConflict, false},
		"repeat":                        {rpc.Change{Id: "old", Version: 5, Over: version(1)}, "d", errcode.Code{}, true},
		"id used again":                 {rpc.Change{Id: "old", Base: 7}, "other", errcode.ChangeReused, false},
		"over what is in force":         {rpc.Change{Id: "a", Version: 6, Over: version(5)}, "x", errcode.Code{}, false},
		"over, and no version":          {rpc.Change{Id: "a", Over: version(5)}, "x", errcode.Code{}, false},
		"over what is past":             {rpc.Change{Id: "a", Base: 9, Version: 6, Over: version(4)}, "x", errcode.ChangeConflict, false},
		"over what is to come":          {rpc.Change{Id: "a", Base: 9, Version: 7, Over: version(6)}, "x", errcode.ChangeConflict, false},
		"over none":                     {rpc.Change{Id: "a", Version: 6, Over: version(0)}, "x", errcode.ChangeConflict, false},
		"version that is there":         {rpc.Change{Id: "a", Base: 9, Version: 5}, "x", errcode.BadChange, false},
		"version below":                 {rpc.Change{Id: "a", Base: 9, Version: 4}, "x", errcode.BadChange, false},
		"version below, over it":        {rpc.Change{Id: "a", Version: 5, Over: version(5)}, "x", errcode.BadChange, false},
		"version below, over past":      {rpc.Change{Id: "a", Version: 5, Over: version(4)}, "x", errcode.ChangeConflict, false},
		"version above":                 {rpc.Change{Id: "a", Base: 9, Version: 60}, "x", errcode.Code{}, false},
		"version above, base too old":   {rpc.Change{Id: "a", Base: 6, Version: 6}, "x", errcode.ChangeConflict, false},
		"version below, base too old":   {rpc.Change{Id: "a", Base: 6, Version: 5}, "x", errcode.BadChange, false},
		"over, and base isn't asked of": {rpc.Change{Id: "a", Base: 99, Over: version(5)}, "x", errcode.Code{}, false},
	} {
		first, err := sheet.CheckPrecondition(&c.change, c.digest)
		if (c.code.No == 0) != (err == nil) || err != nil && !errcode.Is(err, c.code) {
			t.Errorf("%s: %v, want code %d", name, err, c.code.No)
		}
		if (first != nil) != c.repeat || c.repeat && (first.Epoch != 7 || first.Version != 5) {
			t.Errorf("%s: receipt %+v", name, first)
		}
	}
	_, err := sheet.CheckPrecondition(&rpc.Change{Id: "a", Version: 5, Over: version(5)}, "x")
	if paths := errcode.Of(err).Paths; len(paths) != 1 || paths[0] != "version: is not above 5, which is in force" {
		t.Errorf("%v", err)
	}
}

func TestEachFaultIsNamedByItsPath(t *testing.T) {
	mapping := func(m rpc.Mapping) rpc.Config {
		m.Name, m.Path, m.To = "m", "/", []rpc.Split{{Service: "s", Weight: 1}}
		return rpc.Config{Mappings: []rpc.Mapping{m}, Services: []rpc.Service{{Name: "s"}}}
	}
	service := func(s rpc.Service) rpc.Config {
		s.Name = "s"
		return rpc.Config{Services: []rpc.Service{s}}
	}
	manners := func(m rpc.Manners) rpc.Config { return rpc.Config{Manners: &m} }
	for i, c := range []struct {
		put  rpc.Config
		path string
	}{
		{mapping(rpc.Mapping{}), ""},
		{mapping(rpc.Mapping{Tries: 16, Priority: 100, Aim: 600_000}), ""},
		{mapping(rpc.Mapping{Tries: 17}), "mappings.m.tries"},
		{mapping(rpc.Mapping{Tries: -1}), "mappings.m.tries"},
		{mapping(rpc.Mapping{Priority: 101}), "mappings.m.priority"},
		{mapping(rpc.Mapping{Priority: -1}), "mappings.m.priority"},
		{mapping(rpc.Mapping{Aim: 600_001}), "mappings.m.aim"},
		{mapping(rpc.Mapping{Aim: -1}), "mappings.m.aim"},
		{mapping(rpc.Mapping{Aim: 60_999, Deadline: 1000}), ""},
		{mapping(rpc.Mapping{Aim: 61_000, Deadline: 1000}), "mappings.m.aim"},
		{service(rpc.Service{Pipes: 0}), ""},
		{service(rpc.Service{Pipes: -1}), "services.s.pipes"},
		{manners(rpc.Manners{}), ""},
		{manners(rpc.Manners{Header: 1 << 10, Body: 1 << 40, HeaderTime: 600_000, IdleTime: 600_000}), ""},
		{manners(rpc.Manners{Header: 1 << 20}), ""},
		{manners(rpc.Manners{Header: 1<<10 - 1}), "manners.header"},
		{manners(rpc.Manners{Header: 1<<20 + 1}), "manners.header"},
		{manners(rpc.Manners{Header: -1}), "manners.header"},
		{manners(rpc.Manners{Body: -1}), "manners.body"},
		{manners(rpc.Manners{HeaderTime: -1}), "manners.header_time"},
		{manners(rpc.Manners{HeaderTime: 600_001}), "manners.header_time"},
		{manners(rpc.Manners{IdleTime: -1}), "manners.idle_time"},
		{manners(rpc.Manners{IdleTime: 600_001}), "manners.idle_time"},
	} {
		_, paths := MergeChange(rpc.Config{}, &rpc.Change{Id: "c", Put: c.put})
		if c.path == "" && len(paths) != 0 || c.path != "" && (len(paths) != 1 || !strings.HasPrefix(paths[0], c.path+": ")) {
			t.Errorf("%d: %q, want %q", i, paths, c.path)
		}
	}
}

func TestMannersAndDropsAreLaid(t *testing.T) {
	old := rpc.Config{Services: []rpc.Service{{Name: "a"}, {Name: "b"}}, Manners: &rpc.Manners{Body: 1}}
	for name, c := range map[string]struct {
		change   rpc.Change
		body     int64
		services int
		faults   int
	}{
		"kept":             {rpc.Change{}, 1, 2, 0},
		"replaced":         {rpc.Change{Put: rpc.Config{Manners: &rpc.Manners{Body: 2}}}, 2, 2, 0},
		"whole":            {rpc.Change{Whole: true}, 0, 0, 0},
		"whole with some":  {rpc.Change{Whole: true, Put: rpc.Config{Manners: &rpc.Manners{Body: 3}}}, 3, 0, 0},
		"dropped":          {rpc.Change{Drop: rpc.Drops{Services: []string{"a"}}}, 1, 1, 0},
		"drop of no item":  {rpc.Change{Drop: rpc.Drops{Services: []string{"c"}}}, 1, 2, 1},
		"dropped and put":  {rpc.Change{Drop: rpc.Drops{Services: []string{"a"}}, Put: rpc.Config{Services: []rpc.Service{{Name: "a"}}}}, 1, 2, 1},
		"two put the same": {rpc.Change{Put: rpc.Config{Services: []rpc.Service{{Name: "c"}, {Name: "c"}}}}, 1, 4, 1},
	} {
		c.change.Id = "c"
		next, paths := MergeChange(old, &c.change)
		body := int64(0)
		if next.Manners != nil {
			body = next.Manners.Body
		}
		if body != c.body || len(next.Services) != c.services || len(paths) != c.faults {
			t.Errorf("%s: %+v %q", name, next, paths)
		}
	}
}
