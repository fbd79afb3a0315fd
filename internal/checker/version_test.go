package checker

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// A numbered change that an unnumbered set replaced is gone, also if it was known only
// later that it had been accepted before; one of a later epoch is not gone by that set.
func TestVersionedChanges_ReplacedOnlyByALaterEpoch(t *testing.T) {
	version := func(at time.Duration, outcome string, epoch uint64) Record {
		return Record{Kind: VersionedChange, Start: at, At: at + 9, Name: "w9", Revision: 9, From: 2, Digest: "w9", Epoch: epoch, Outcome: outcome}
	}
	replacement := func(epoch uint64) Record {
		return Record{Kind: ChangeSubmitted, Start: 16 * s, At: 16*s + 9, Name: "all", BaseEpoch: epoch - 1, Epoch: epoch, Outcome: "accepted", ReplacesAll: true}
	}
	back := Record{Kind: ConfigurationRead, Start: 18 * s, At: 18*s + 9, Revision: 9, Epoch: 30, Destinations: map[string]string{}}
	for name, c := range map[string]struct {
		epoch uint64
		want  []string
	}{
		"replaced before it was known": {20, nil},
		"accepted after the set":       {22, []string{"versions"}},
	} {
		t.Run(name, func(t *testing.T) {
			v := Check(append(sound(), version(15*s, "unknown", 0), replacement(21), version(17*s, "accepted", c.epoch), back))
			if diff := cmp.Diff(c.want, rules(v)); diff != "" {
				t.Errorf("%s%s", diff, v)
			}
		})
	}
}
