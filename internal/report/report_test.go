// These tests compare the text of a page with an approved transcript, and check that its plots
// have content and are computed from the right records. Run with -approve to update the transcript.
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

// sampleHistory returns four seconds of requests with a fault and three TrafficSent records.
func sampleHistory() []checker.Record {
	records := []checker.Record{{Kind: checker.ScenarioStarted, Note: "a test"}}
	addRequest := func(id string, start, latency time.Duration, outcome string, status, code int) {
		records = append(records, checker.Record{Kind: checker.RequestCompleted, CallID: id, RequestID: "r" + id, Start: start, At: start + latency, Outcome: outcome, Status: status, Code: code, RetryAfter: "1"})
	}
	addExecution := func(id string, at time.Duration) {
		records = append(records, checker.Record{Kind: checker.RequestExecuted, CallID: id, RequestID: "r" + id, At: at})
	}
	addRequest("a", 100*ms, 5*ms, "ran", 200, 0)
	addExecution("a", 102*ms)
	addRequest("b", 900*ms, 7*ms, "ran", 200, 0)
	addExecution("b", 903*ms)
	records = append(records, checker.Record{Kind: checker.FaultInjected, At: 1200 * ms, Note: "kill core1"})
	addRequest("c", 1300*ms, 9*ms, "not run", 503, 1002)
	addRequest("d", 1400*ms, 200*ms, "unknown", 502, 1007)
	addRequest("e", 3200*ms, 40*ms, "ran", 200, 0)
	addExecution("e", 3210*ms)
	addRequest("f", 3300*ms, 4*ms, "gone", 0, 0)
	for i, sent := range []int64{1000, 3000, 9000} {
		records = append(records, checker.Record{Kind: checker.TrafficSent, At: time.Duration(i+1) * time.Second, SentBytes: map[string]int64{"gate.try": sent, "kin.probe": 10 * sent}})
	}
	return append(records, checker.Record{Kind: checker.ScenarioEnded, At: 4 * time.Second})
}

var svgElement = regexp.MustCompile(`(?s)<svg.*?</svg>`)

func TestTranscriptPage(t *testing.T) {
	history, err := History("a.history", sampleHistory())
	if err != nil {
		t.Fatal(err)
	}
	var page bytes.Buffer
	if err := Write(&page, "a <title>", []Section{history}); err != nil {
		t.Fatal(err)
	}
	plots := svgElement.FindAllString(page.String(), -1)
	for i, plot := range plots {
		if !strings.Contains(plot, "<path") || !strings.Contains(plot, "<text") {
			t.Errorf("plot %d has no line or no text", i)
		}
	}
	transcript.Compare(t, "page.html", svgElement.ReplaceAllString(page.String(), "[plot]"))
}

func TestSplitIntoIntervals_CountsRequestsByStartTime(t *testing.T) {
	intervals, length := splitIntoIntervals(sampleHistory())
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
	long := append(sampleHistory(), checker.Record{Kind: checker.RequestCompleted, Start: time.Hour, At: time.Hour, Outcome: "ran", Status: 200})
	if intervals, length := splitIntoIntervals(long); len(intervals) > maxIntervals+1 || length%time.Second != 0 {
		t.Errorf("%d intervals of %v for an hour", len(intervals), length)
	}
}

func TestQuantile_ReturnsAnElementOfTheList(t *testing.T) {
	sorted := []time.Duration{1, 2, 3, 4}
	for fraction, want := range map[float64]time.Duration{0.5: 2, 0.99: 4, 0.999: 4} {
		if got := quantile(sorted, fraction); got != want {
			t.Errorf("%v: %v, want %v", fraction, got, want)
		}
	}
	if got := quantile(sorted[:1], 0.5); got != 1 {
		t.Errorf("single element: %v, want 1", got)
	}
}

func TestHistory_WithoutRequestsIsAnError(t *testing.T) {
	if _, err := History("x", []checker.Record{{Kind: checker.ScenarioStarted}}); err == nil {
		t.Error("a history without requests gave a section instead of an error")
	}
}
