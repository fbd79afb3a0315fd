// What a change set may say, and when it has its place.
package plan

import (
	"strings"
	"testing"

	"github.com/sumactrestle/sumactrestle/internal/fault"
	"github.com/sumactrestle/sumactrestle/internal/mark"
	"github.com/sumactrestle/sumactrestle/internal/wire"
)

func version(v mark.Version) *mark.Version { return &v }

func TestAChangeSetIsJudgedByWhatIsInForce(t *testing.T) {
	sheet := &Sheet{Epoch: 9, Changed: 7, Version: 5, Changes: []wire.ChangeReceipt{{Id: "old", Digest: "d", Epoch: 7, Version: 5}}}
	for name, c := range map[string]struct {
		change wire.Change
		digest string
		code   fault.Code
		repeat bool
	}{
		"as today":                      {wire.Change{Id: "a", Base: 7}, "x", fault.Code{}, false},
		"base too old":                  {wire.Change{Id: "a", Base: 6}, "x", fault.ChangeConflict, false},
		"base to come":                  {wire.Change{Id: "a", Base: 10}, "x", fault.ChangeConflict, false},
		"repeat":                        {wire.Change{Id: "old", Version: 5, Over: version(1)}, "d", fault.Code{}, true},
		"id used again":                 {wire.Change{Id: "old", Base: 7}, "other", fault.ChangeReused, false},
		"over what is in force":         {wire.Change{Id: "a", Version: 6, Over: version(5)}, "x", fault.Code{}, false},
		"over, and no version":          {wire.Change{Id: "a", Over: version(5)}, "x", fault.Code{}, false},
		"over what is past":             {wire.Change{Id: "a", Base: 9, Version: 6, Over: version(4)}, "x", fault.ChangeConflict, false},
		"over what is to come":          {wire.Change{Id: "a", Base: 9, Version: 7, Over: version(6)}, "x", fault.ChangeConflict, false},
		"over none":                     {wire.Change{Id: "a", Version: 6, Over: version(0)}, "x", fault.ChangeConflict, false},
		"version that is there":         {wire.Change{Id: "a", Base: 9, Version: 5}, "x", fault.BadChange, false},
		"version below":                 {wire.Change{Id: "a", Base: 9, Version: 4}, "x", fault.BadChange, false},
		"version below, over it":        {wire.Change{Id: "a", Version: 5, Over: version(5)}, "x", fault.BadChange, false},
		"version below, over past":      {wire.Change{Id: "a", Version: 5, Over: version(4)}, "x", fault.ChangeConflict, false},
		"version above":                 {wire.Change{Id: "a", Base: 9, Version: 60}, "x", fault.Code{}, false},
		"version above, base too old":   {wire.Change{Id: "a", Base: 6, Version: 6}, "x", fault.ChangeConflict, false},
		"version below, base too old":   {wire.Change{Id: "a", Base: 6, Version: 5}, "x", fault.BadChange, false},
		"over, and base isn't asked of": {wire.Change{Id: "a", Base: 99, Over: version(5)}, "x", fault.Code{}, false},
	} {
		first, err := sheet.Judge(&c.change, c.digest)
		if (c.code.No == 0) != (err == nil) || err != nil && !fault.Is(err, c.code) {
			t.Errorf("%s: %v, want code %d", name, err, c.code.No)
		}
		if (first != nil) != c.repeat || c.repeat && (first.Epoch != 7 || first.Version != 5) {
			t.Errorf("%s: receipt %+v", name, first)
		}
	}
	_, err := sheet.Judge(&wire.Change{Id: "a", Version: 5, Over: version(5)}, "x")
	if paths := fault.Of(err).Paths; len(paths) != 1 || paths[0] != "version: is not above 5, which is in force" {
		t.Errorf("%v", err)
	}
}

func TestEachFaultIsNamedByItsPath(t *testing.T) {
	mapping := func(m wire.Mapping) wire.Config {
		m.Name, m.Path, m.To = "m", "/", []wire.Split{{Service: "s", Weight: 1}}
		return wire.Config{Mappings: []wire.Mapping{m}, Services: []wire.Service{{Name: "s"}}}
	}
	service := func(s wire.Service) wire.Config {
		s.Name = "s"
		return wire.Config{Services: []wire.Service{s}}
	}
	manners := func(m wire.Manners) wire.Config { return wire.Config{Manners: &m} }
	for i, c := range []struct {
		put  wire.Config
		path string
	}{
		{mapping(wire.Mapping{}), ""},
		{mapping(wire.Mapping{Tries: 16, Priority: 100, Aim: 600_000}), ""},
		{mapping(wire.Mapping{Tries: 17}), "mappings.m.tries"},
		{mapping(wire.Mapping{Tries: -1}), "mappings.m.tries"},
		{mapping(wire.Mapping{Priority: 101}), "mappings.m.priority"},
		{mapping(wire.Mapping{Priority: -1}), "mappings.m.priority"},
		{mapping(wire.Mapping{Aim: 600_001}), "mappings.m.aim"},
		{mapping(wire.Mapping{Aim: -1}), "mappings.m.aim"},
		{mapping(wire.Mapping{Aim: 60_999, Deadline: 1000}), ""},
		{mapping(wire.Mapping{Aim: 61_000, Deadline: 1000}), "mappings.m.aim"},
		{service(wire.Service{Pipes: 0}), ""},
		{service(wire.Service{Pipes: -1}), "services.s.pipes"},
		{manners(wire.Manners{}), ""},
		{manners(wire.Manners{Header: 1 << 10, Body: 1 << 40, HeaderTime: 600_000, IdleTime: 600_000}), ""},
		{manners(wire.Manners{Header: 1 << 20}), ""},
		{manners(wire.Manners{Header: 1<<10 - 1}), "manners.header"},
		{manners(wire.Manners{Header: 1<<20 + 1}), "manners.header"},
		{manners(wire.Manners{Header: -1}), "manners.header"},
		{manners(wire.Manners{Body: -1}), "manners.body"},
		{manners(wire.Manners{HeaderTime: -1}), "manners.header_time"},
		{manners(wire.Manners{HeaderTime: 600_001}), "manners.header_time"},
		{manners(wire.Manners{IdleTime: -1}), "manners.idle_time"},
		{manners(wire.Manners{IdleTime: 600_001}), "manners.idle_time"},
	} {
		_, paths := Lay(wire.Config{}, &wire.Change{Id: "c", Put: c.put})
		if c.path == "" && len(paths) != 0 || c.path != "" && (len(paths) != 1 || !strings.HasPrefix(paths[0], c.path+": ")) {
			t.Errorf("%d: %q, want %q", i, paths, c.path)
		}
	}
}

func TestMannersAndDropsAreLaid(t *testing.T) {
	old := wire.Config{Services: []wire.Service{{Name: "a"}, {Name: "b"}}, Manners: &wire.Manners{Body: 1}}
	for name, c := range map[string]struct {
		change   wire.Change
		body     int64
		services int
		faults   int
	}{
		"kept":             {wire.Change{}, 1, 2, 0},
		"replaced":         {wire.Change{Put: wire.Config{Manners: &wire.Manners{Body: 2}}}, 2, 2, 0},
		"whole":            {wire.Change{Whole: true}, 0, 0, 0},
		"whole with some":  {wire.Change{Whole: true, Put: wire.Config{Manners: &wire.Manners{Body: 3}}}, 3, 0, 0},
		"dropped":          {wire.Change{Drop: wire.Drops{Services: []string{"a"}}}, 1, 1, 0},
		"drop of no item":  {wire.Change{Drop: wire.Drops{Services: []string{"c"}}}, 1, 2, 1},
		"dropped and put":  {wire.Change{Drop: wire.Drops{Services: []string{"a"}}, Put: wire.Config{Services: []wire.Service{{Name: "a"}}}}, 1, 2, 1},
		"two put the same": {wire.Change{Put: wire.Config{Services: []wire.Service{{Name: "c"}, {Name: "c"}}}}, 1, 4, 1},
	} {
		c.change.Id = "c"
		next, paths := Lay(old, &c.change)
		body := int64(0)
		if next.Manners != nil {
			body = next.Manners.Body
		}
		if body != c.body || len(next.Services) != c.services || len(paths) != c.faults {
			t.Errorf("%s: %+v %q", name, next, paths)
		}
	}
}
