// The words of a page as an approved transcript; of its plots it is seen that they
// are made, and what points they are of. Run with -approve to take over what is said
// now.
package report

import (
	"bytes"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/transcript"

	"github.com/google/go-cmp/cmp"

	"github.com/sumactrestle/sumactrestle/internal/checker"
)

const ms = time.Millisecond

// recorded is four seconds of calls, a fault, and three samples of what was sent.
func recorded() []checker.Record {
	records := []checker.Record{{Kind: checker.ScenarioStarted, Note: "a test"}}
	call := func(id string, start, took time.Duration, outcome string, status, code int) {
		records = append(records, checker.Record{Kind: checker.RequestCompleted, CallID: id, RequestID: "r" + id, Start: start, At: start + took, Outcome: outcome, Status: status, Code: code, RetryAfter: "1"})
	}
	ran := func(id string, at time.Duration) {
		records = append(records, checker.Record{Kind: checker.RequestExecuted, CallID: id, RequestID: "r" + id, At: at})
	}
	call("a", 100*ms, 5*ms, "ran", 200, 0)
	ran("a", 102*ms)
	call("b", 900*ms, 7*ms, "ran", 200, 0)
	ran("b", 903*ms)
	records = append(records, checker.Record{Kind: checker.FaultInjected, At: 1200 * ms, Note: "kill core1"})
	call("c", 1300*ms, 9*ms, "not run", 503, 1002)
	call("d", 1400*ms, 200*ms, "unknown", 502, 1007)
	call("e", 3200*ms, 40*ms, "ran", 200, 0)
	ran("e", 3210*ms)
	call("f", 3300*ms, 4*ms, "gone", 0, 0)
	for i, sent := range []int64{1000, 3000, 9000} {
		records = append(records, checker.Record{Kind: checker.TrafficSent, At: time.Duration(i+1) * time.Second, SentBytes: map[string]int64{"gate.try": sent, "kin.probe": 10 * sent}})
	}
	return append(records, checker.Record{Kind: checker.ScenarioEnded, At: 4 * time.Second})
}

var picture = regexp.MustCompile(`(?s)<svg.*?</svg>`)

func TestTranscriptPage(t *testing.T) {
	history, err := History("a.history", recorded())
	if err != nil {
		t.Fatal(err)
	}
	var page bytes.Buffer
	if err := Write(&page, "a <title>", []Section{history}); err != nil {
		t.Fatal(err)
	}
	plots := picture.FindAllString(page.String(), -1)
	for i, plot := range plots {
		if !strings.Contains(plot, "<path") || !strings.Contains(plot, "<text") {
			t.Errorf("plot %d holds no line, or no word", i)
		}
	}
	transcript.Compare(t, "page.html", picture.ReplaceAllString(page.String(), "[plot]"))
}

func TestIntervalsHoldTheCallsThatBeganInThem(t *testing.T) {
	intervals, length := splitIntoIntervals(recorded())
	if length != time.Second || len(intervals) != 4 {
		t.Fatalf("%d intervals of %v", len(intervals), length)
	}
	var got [][3]int
	for _, in := range intervals {
		got = append(got, [3]int{in.requests, in.ran, in.rejected})
	}
	if diff := cmp.Diff([][3]int{{2, 2, 0}, {2, 0, 1}, {}, {1, 1, 0}}, got); diff != "" {
		t.Error(diff)
	}
	long := append(recorded(), checker.Record{Kind: checker.RequestCompleted, Start: time.Hour, At: time.Hour, Outcome: "ran", Status: 200})
	if intervals, length := splitIntoIntervals(long); len(intervals) > maxIntervals+1 || length%time.Second != 0 {
		t.Errorf("%d intervals of %v for an hour", len(intervals), length)
	}
}

func TestQuantilesAreOfTheListItself(t *testing.T) {
	list := []time.Duration{1, 2, 3, 4}
	for share, want := range map[float64]time.Duration{0.5: 2, 0.99: 4, 0.999: 4} {
		if got := quantile(list, share); got != want {
			t.Errorf("%v: %v, want %v", share, got, want)
		}
	}
	if got := quantile(list[:1], 0.5); got != 1 {
		t.Errorf("of one: %v", got)
	}
}

func TestWhatCanNotBeDrawnIsSaid(t *testing.T) {
	if _, err := History("x", []checker.Record{{Kind: checker.ScenarioStarted}}); err == nil {
		t.Error("a history without a call was drawn")
	}
}
