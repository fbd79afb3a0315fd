package controlplane

import (
	"errors"
	"testing"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

func version(v ids.Version) *ids.Version { return &v }

func TestEpochState_CheckPrecondition(t *testing.T) {
	epoch := &EpochState{Epoch: 9, LastChange: 7, Version: 5, Changes: []rpc.ChangeResult{{ID: "old", Digest: "d", Epoch: 7, Version: 5}}}
	for name, c := range map[string]struct {
		change rpc.ChangeSet
		digest string
		code   errcode.Code
		repeat bool
	}{
		"as today":                      {rpc.ChangeSet{ID: "a", BaseEpoch: 7}, "x", errcode.Code{}, false},
		"base too old":                  {rpc.ChangeSet{ID: "a", BaseEpoch: 6}, "x", errcode.ChangeConflict, false},
		"base to come":                  {rpc.ChangeSet{ID: "a", BaseEpoch: 10}, "x", errcode.ChangeConflict, false},
		"repeat":                        {rpc.ChangeSet{ID: "old", Version: 5, ExpectedVersion: version(1)}, "d", errcode.Code{}, true},
		"id used again":                 {rpc.ChangeSet{ID: "old", BaseEpoch: 7}, "other", errcode.ChangeReused, false},
		"over what is in force":         {rpc.ChangeSet{ID: "a", Version: 6, ExpectedVersion: version(5)}, "x", errcode.Code{}, false},
		"over, and no version":          {rpc.ChangeSet{ID: "a", ExpectedVersion: version(5)}, "x", errcode.Code{}, false},
		"over what is past":             {rpc.ChangeSet{ID: "a", BaseEpoch: 9, Version: 6, ExpectedVersion: version(4)}, "x", errcode.ChangeConflict, false},
		"over what is to come":          {rpc.ChangeSet{ID: "a", BaseEpoch: 9, Version: 7, ExpectedVersion: version(6)}, "x", errcode.ChangeConflict, false},
		"over none":                     {rpc.ChangeSet{ID: "a", Version: 6, ExpectedVersion: version(0)}, "x", errcode.ChangeConflict, false},
		"version that is there":         {rpc.ChangeSet{ID: "a", BaseEpoch: 9, Version: 5}, "x", errcode.InvalidChange, false},
		"version below":                 {rpc.ChangeSet{ID: "a", BaseEpoch: 9, Version: 4}, "x", errcode.InvalidChange, false},
		"version below, over it":        {rpc.ChangeSet{ID: "a", Version: 5, ExpectedVersion: version(5)}, "x", errcode.InvalidChange, false},
		"version below, over past":      {rpc.ChangeSet{ID: "a", Version: 5, ExpectedVersion: version(4)}, "x", errcode.ChangeConflict, false},
		"version above":                 {rpc.ChangeSet{ID: "a", BaseEpoch: 9, Version: 60}, "x", errcode.Code{}, false},
		"version above, base too old":   {rpc.ChangeSet{ID: "a", BaseEpoch: 6, Version: 6}, "x", errcode.ChangeConflict, false},
		"version below, base too old":   {rpc.ChangeSet{ID: "a", BaseEpoch: 6, Version: 5}, "x", errcode.InvalidChange, false},
		"over, and base isn't asked of": {rpc.ChangeSet{ID: "a", BaseEpoch: 99, ExpectedVersion: version(5)}, "x", errcode.Code{}, false},
	} {
		t.Run(name, func(t *testing.T) {
			first, err := epoch.CheckPrecondition(&c.change, c.digest)
			if (c.code.Number == 0) != (err == nil) || err != nil && !errors.Is(err, c.code) {
				t.Errorf("%v, want code %d", err, c.code.Number)
			}
			if (first != nil) != c.repeat || c.repeat && (first.Epoch != 7 || first.Version != 5) {
				t.Errorf("first result %+v", first)
			}
		})
	}
	_, err := epoch.CheckPrecondition(&rpc.ChangeSet{ID: "a", Version: 5, ExpectedVersion: version(5)}, "x")
	if paths := errcode.From(err).Paths; len(paths) != 1 || paths[0] != "version: is not above 5, which is in force" {
		t.Errorf("%v", err)
	}
}

func TestMergeChange_ClientLimitsAndDrops(t *testing.T) {
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
		t.Run(name, func(t *testing.T) {
			c.change.ID = "c"
			merged, faults := MergeChange(old, &c.change)
			body := int64(0)
			if merged.ClientLimits != nil {
				body = merged.ClientLimits.BodyBytes
			}
			if body != c.body || len(merged.Services) != c.services || len(faults) != c.faults {
				t.Errorf("%+v %q", merged, faults)
			}
		})
	}
}
