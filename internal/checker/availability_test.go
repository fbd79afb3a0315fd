package checker

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestMeasureAvailability_CountsEachRequestOnce(t *testing.T) {
	got := MeasureAvailability([]Record{
		{Kind: RequestCompleted, Status: 200, Outcome: "ran"},
		{Kind: RequestCompleted, Status: 503, Code: 1002, Outcome: "not run"},
		{Kind: RequestCompleted, Status: 503, Code: 1002, Outcome: "not run"},
		{Kind: RequestCompleted, Status: 502, Code: 1007, Outcome: "unknown"},
		{Kind: RequestCompleted, Status: 409, Code: 1016, Outcome: "ran"},
		{Kind: RequestCompleted, Outcome: "broken"},
		{Kind: RequestCompleted, Outcome: "gone"},
		{Kind: RequestExecuted},
	})
	want := Availability{Total: 6, Succeeded: 1, Rejected: map[int]int{1002: 2}, Unknown: 1, Broken: 1, AlreadyRan: 1}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	want = Availability{Total: 12, Succeeded: 2, Rejected: map[int]int{1002: 4}, Unknown: 2, Broken: 2, AlreadyRan: 2}
	if diff := cmp.Diff(want, got.Add(got)); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff("6 calls: ran 16.7%, known 16.7%, 1002 33.3%, unknown 16.7%, broken 16.7%", got.String()); diff != "" {
		t.Error(diff)
	}
}
