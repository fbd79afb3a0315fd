package checker

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// A change set without a version that replaces the whole configuration also removes versioned
// changes of earlier epochs, even if their acceptance became known only later. It does not explain
// the absence of a change of a later epoch.
func TestVersionedChanges_ReplacedOnlyByALaterEpoch(t *testing.T) {
	version := func(at time.Duration, outcome string, epoch uint64) Record {
		return Record{Kind: VersionedChange, Start: at, At: at + 9, Name: "w9", Revision: 9, From: 2, Digest: "w9", Epoch: epoch, Outcome: outcome}
	}
	replacement := func(epoch uint64) Record {
		return Record{Kind: ChangeSubmitted, Start: 16 * s, At: 16*s + 9, Name: "all", BaseEpoch: epoch - 1, Epoch: epoch, Outcome: "accepted", ReplacesAll: true}
	}
	readBack := Record{Kind: ConfigurationRead, Start: 18 * s, At: 18*s + 9, Revision: 9, Epoch: 30, Destinations: map[string]string{}}
	for name, c := range map[string]struct {
		epoch uint64
		want  []string
	}{
		"replaced before acceptance was known": {20, nil},
		"accepted after the replacement":       {22, []string{"versions"}},
	} {
		t.Run(name, func(t *testing.T) {
			v := Check(append(validHistory(), version(15*s, "unknown", 0), replacement(21), version(17*s, "accepted", c.epoch), readBack))
			if diff := cmp.Diff(c.want, brokenRules(v)); diff != "" {
				t.Errorf("%s%s", diff, v)
			}
		})
	}
}
