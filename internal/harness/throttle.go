// Small processors, stood in for: each process is stopped and continued in a fixed
// cycle, so that it has a quarter, a third or all of one processor. It is harder
// than a quota, for a process that has nothing to do is stopped as well.
package harness

import (
	"context"
	"fmt"
	"sort"
	"syscall"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/checker"
)

const throttlePeriod = 20 * time.Millisecond

// throttle puts every machine of the run into its cycle until the context ends.
func (r *Run) throttle(ctx context.Context) {
	for _, m := range r.fleet.Machines {
		share := r.shape.ProxyCPU
		if m.IsCore {
			share = r.shape.CoreCPU
		}
		if share <= 0 || share >= 1 {
			continue
		}
		on := time.Duration(float64(throttlePeriod) * share)
		go func() {
			for ctx.Err() == nil {
				time.Sleep(on)
				m.signal(syscall.SIGSTOP)
				time.Sleep(throttlePeriod - on)
				if !m.isFrozen.Load() {
					m.signal(syscall.SIGCONT)
				}
			}
			if !m.isFrozen.Load() {
				m.signal(syscall.SIGCONT)
			}
		}()
	}
}

// printResponses tells what became of the callers' requests, and how soon each kind of
// answer came. Times are of one machine that all share, and no verdict hangs on them.
func (r *Run) printResponses(seconds float64) {
	took := map[string][]time.Duration{}
	for _, rec := range r.history.Records() {
		if rec.Kind == checker.RequestCompleted {
			what := rec.Outcome
			if rec.Code != 0 {
				what = fmt.Sprint(rec.Outcome, ", code ", rec.Code)
			}
			took[what] = append(took[what], rec.At-rec.Start)
		}
	}
	var kinds []string
	for what := range took {
		kinds = append(kinds, what)
	}
	sort.Strings(kinds)
	for _, what := range kinds {
		list := took[what]
		sort.Slice(list, func(i, j int) bool { return list[i] < list[j] })
		fmt.Fprintf(r.out, "answered %-28s %8.1f/s   median %s, of a hundred 99 within %s\n", what, float64(len(list))/seconds, list[len(list)/2].Round(100*time.Microsecond), list[len(list)*99/100].Round(time.Millisecond))
	}
}
