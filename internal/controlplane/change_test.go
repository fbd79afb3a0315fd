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
		"base is the last change":                               {rpc.ChangeSet{ID: "a", BaseEpoch: 7}, "x", errcode.Code{}, false},
		"base before the last change":                           {rpc.ChangeSet{ID: "a", BaseEpoch: 6}, "x", errcode.ChangeConflict, false},
		"base above the current epoch":                          {rpc.ChangeSet{ID: "a", BaseEpoch: 10}, "x", errcode.ChangeConflict, false},
		"repeated change set":                                   {rpc.ChangeSet{ID: "old", Version: 5, ExpectedVersion: version(1)}, "d", errcode.Code{}, true},
		"ID reused for another change set":                      {rpc.ChangeSet{ID: "old", BaseEpoch: 7}, "other", errcode.ChangeReused, false},
		"expects the current version":                           {rpc.ChangeSet{ID: "a", Version: 6, ExpectedVersion: version(5)}, "x", errcode.Code{}, false},
		"expects the current version, sets none":                {rpc.ChangeSet{ID: "a", ExpectedVersion: version(5)}, "x", errcode.Code{}, false},
		"expects an older version":                              {rpc.ChangeSet{ID: "a", BaseEpoch: 9, Version: 6, ExpectedVersion: version(4)}, "x", errcode.ChangeConflict, false},
		"expects a newer version":                               {rpc.ChangeSet{ID: "a", BaseEpoch: 9, Version: 7, ExpectedVersion: version(6)}, "x", errcode.ChangeConflict, false},
		"expects no version":                                    {rpc.ChangeSet{ID: "a", Version: 6, ExpectedVersion: version(0)}, "x", errcode.ChangeConflict, false},
		"sets the current version":                              {rpc.ChangeSet{ID: "a", BaseEpoch: 9, Version: 5}, "x", errcode.InvalidChange, false},
		"sets an older version":                                 {rpc.ChangeSet{ID: "a", BaseEpoch: 9, Version: 4}, "x", errcode.InvalidChange, false},
		"expects and sets the current version":                  {rpc.ChangeSet{ID: "a", Version: 5, ExpectedVersion: version(5)}, "x", errcode.InvalidChange, false},
		"expects an older version, sets the current one":        {rpc.ChangeSet{ID: "a", Version: 5, ExpectedVersion: version(4)}, "x", errcode.ChangeConflict, false},
		"sets a newer version":                                  {rpc.ChangeSet{ID: "a", BaseEpoch: 9, Version: 60}, "x", errcode.Code{}, false},
		"sets a newer version, base before the last change":     {rpc.ChangeSet{ID: "a", BaseEpoch: 6, Version: 6}, "x", errcode.ChangeConflict, false},
		"sets the current version, base before the last change": {rpc.ChangeSet{ID: "a", BaseEpoch: 6, Version: 5}, "x", errcode.InvalidChange, false},
		"expects the current version, base is ignored":          {rpc.ChangeSet{ID: "a", BaseEpoch: 99, ExpectedVersion: version(5)}, "x", errcode.Code{}, false},
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

func TestMergeChange_ClientLimitsAndRemovals(t *testing.T) {
	old := rpc.Configuration{Services: []rpc.Service{{Name: "a"}, {Name: "b"}}, ClientLimits: &rpc.ClientLimits{BodyBytes: 1}}
	for name, c := range map[string]struct {
		change   rpc.ChangeSet
		body     int64
		services int
		faults   int
	}{
		"kept":                            {rpc.ChangeSet{}, 1, 2, 0},
		"replaced":                        {rpc.ChangeSet{Put: rpc.Configuration{ClientLimits: &rpc.ClientLimits{BodyBytes: 2}}}, 2, 2, 0},
		"whole configuration without any": {rpc.ChangeSet{Complete: true}, 0, 0, 0},
		"whole configuration with some":   {rpc.ChangeSet{Complete: true, Put: rpc.Configuration{ClientLimits: &rpc.ClientLimits{BodyBytes: 3}}}, 3, 0, 0},
		"service dropped":                 {rpc.ChangeSet{Remove: rpc.Removals{Services: []string{"a"}}}, 1, 1, 0},
		"unknown service dropped":         {rpc.ChangeSet{Remove: rpc.Removals{Services: []string{"c"}}}, 1, 2, 1},
		"service dropped and put":         {rpc.ChangeSet{Remove: rpc.Removals{Services: []string{"a"}}, Put: rpc.Configuration{Services: []rpc.Service{{Name: "a"}}}}, 1, 2, 1},
		"service put twice":               {rpc.ChangeSet{Put: rpc.Configuration{Services: []rpc.Service{{Name: "c"}, {Name: "c"}}}}, 1, 4, 1},
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
