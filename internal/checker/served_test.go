package checker

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestServedCountsEachCallOnce(t *testing.T) {
	got := ServedOf([]Record{
		{Kind: Called, Status: 200, Outcome: "ran"},
		{Kind: Called, Status: 503, Code: 1002, Outcome: "not run"},
		{Kind: Called, Status: 503, Code: 1002, Outcome: "not run"},
		{Kind: Called, Status: 502, Code: 1007, Outcome: "unknown"},
		{Kind: Called, Status: 409, Code: 1016, Outcome: "ran"},
		{Kind: Called, Outcome: "broken"},
		{Kind: Called, Outcome: "gone"},
		{Kind: Ran},
	})
	want := Served{Calls: 6, Ran: 1, Refused: map[int]int{1002: 2}, Unknown: 1, Broken: 1, Known: 1}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	want = Served{Calls: 12, Ran: 2, Refused: map[int]int{1002: 4}, Unknown: 2, Broken: 2, Known: 2}
	if diff := cmp.Diff(want, got.Plus(got)); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff("6 calls: ran 16.7%, known 16.7%, 1002 33.3%, unknown 16.7%, broken 16.7%", got.String()); diff != "" {
		t.Error(diff)
	}
}
