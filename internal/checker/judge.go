// One checker for each thing that must never happen. Each looks at the whole
// history and names what breaks its rule, with the records around it.
package checker

import (
	"fmt"
	"sort"
	"strings"
	"time"
)

// Breach is one place where a rule is broken.
type Breach struct {
	Rule string
	Text string
	At   time.Duration
}

// Verdict is what all checkers said.
type Verdict struct {
	Breaches []Breach
	Counts   map[string]int
	records  []Record
}

func (v *Verdict) IsClean() bool { return len(v.Breaches) == 0 }

func (v *Verdict) String() string {
	var b strings.Builder
	kinds := make([]string, 0, len(v.Counts))
	for kind := range v.Counts {
		kinds = append(kinds, kind)
	}
	sort.Strings(kinds)
	for _, kind := range kinds {
		fmt.Fprintf(&b, "%-24s %d\n", kind, v.Counts[kind])
	}
	for i, breach := range v.Breaches {
		if i == 20 {
			fmt.Fprintf(&b, "and %d more\n", len(v.Breaches)-i)
			break
		}
		fmt.Fprintf(&b, "BROKEN %s at %s: %s\n", breach.Rule, breach.At, breach.Text)
	}
	if len(v.Breaches) > 0 {
		b.WriteString("around the first:\n")
		at := v.Breaches[0].At
		shown := 0
		for _, r := range v.records {
			if r.At > at-time.Second && r.At < at+time.Second && (r.Kind != Called && r.Kind != Ran || strings.Contains(v.Breaches[0].Text, r.Call)) && shown < 40 {
				fmt.Fprintf(&b, "  %+v\n", r)
				shown++
			}
		}
	}
	return b.String()
}

// The bounds of the brief; the slack is for what "about" means there.
const (
	learnBound  = 2 * time.Second
	rescueBound = 15 * time.Second
	slack       = 50 * time.Millisecond
	keyBound    = 25 * time.Second // how long a proxy surely remembers an order
)

type check func(all []Record, fail func(at time.Duration, format string, args ...any))

// Checks are the rules by name.
var Checks = map[string]check{
	"runs-twice":     runsTwice,
	"not-run":        notRun,
	"wrong-answer":   wrongAnswer,
	"late-hand-over": lateHandOver,
	"wrong-service":  wrongService,
	"old-plan":       oldPlan,
	"slid-back":      slidBack,
	"racing-changes": racingChanges,
	"whole-sets":     wholeSets,
	"lost-change":    lostChange,
	"extra-tries":    extraTries,
	"dropped":        dropped,
	"locks":          locks,
	"counters":       counters,
	"counted":        counted,
	"stale-read":     staleRead,
	"watch-gap":      watchGap,
	"too-long":       tooLong,
	"answered":       answered,
	"replicas":       replicas,
	"sets":           sets,
	"versions":       versions,
}

// Judge runs every checker.
func Judge(records []Record) *Verdict {
	v := &Verdict{Counts: map[string]int{}, records: records}
	isBound := touched(records)
	hasEnd := false
	for _, r := range records {
		v.Counts[r.Kind]++
		if r.Kind == Called {
			v.Counts["called: "+r.Outcome]++
			if r.Code != 0 {
				v.Counts[fmt.Sprintf("called: code %d", r.Code)]++
			}
		}
		if r.Kind == Ran && isBound(r.Proxy, r.At) {
			v.Counts["ran in touch"]++
		}
		if r.Kind == Version {
			v.Counts["version: "+r.Outcome]++
		}
		if r.Kind == Bonded {
			v.Counts[fmt.Sprintf("bonded: %s %s %d", r.Op, r.Outcome, r.Code)]++
		}
		hasEnd = hasEnd || r.Kind == Ended
	}
	if !hasEnd {
		v.Breaches = append(v.Breaches, Breach{Rule: "incomplete", Text: "the history has no end; nothing can be said of it"})
	}
	names := make([]string, 0, len(Checks))
	for name := range Checks {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		Checks[name](records, func(at time.Duration, format string, args ...any) {
			v.Breaches = append(v.Breaches, Breach{Rule: name, At: at, Text: fmt.Sprintf(format, args...)})
		})
	}
	return v
}

func of(all []Record, kind string) (some []Record) {
	for _, r := range all {
		if r.Kind == kind {
			some = append(some, r)
		}
	}
	return some
}

// runsTwice: a booking, signing order or upload runs twice.
func runsTwice(all []Record, fail func(time.Duration, string, ...any)) {
	repeats := map[string]bool{}
	for _, r := range of(all, Called) {
		repeats[r.Call] = repeats[r.Call] || r.Repeat && !r.Once
	}
	runs, requests := map[string]Record{}, map[string]Record{}
	for _, r := range of(all, Ran) {
		if r.Repeatable {
			continue
		}
		if first, ok := requests[r.Request]; ok {
			fail(r.At, "request %s of call %s ran at %s and at %s", r.Request, r.Call, first.Instance, r.Instance)
		}
		requests[r.Request] = r
		if first, ok := runs[r.Call]; ok && !repeats[r.Call] {
			fail(r.At, "call %s ran at %s and at %s", r.Call, first.Instance, r.Instance)
		}
		runs[r.Call] = r
	}
}

// notRun: "not run" for a request that did run, or will run later. Each answer
// bears its request's id, so each try of a caller is judged by itself. What is
// said of a repeat must be true of the order: through the proxy that handed the
// order over, and has lived on since, no repeat is told "not run".
func notRun(all []Record, fail func(time.Duration, string, ...any)) {
	runs, lives := map[string]Record{}, map[string][]time.Duration{}
	for _, r := range all {
		switch r.Kind {
		case Ran:
			runs[r.Request] = r
		case Alive:
			lives[r.Proxy] = append(lives[r.Proxy], r.At)
		}
	}
	handed := map[string][]Record{}
	for _, r := range of(all, Called) {
		if _, ok := runs[r.Request]; ok && !r.Repeatable && !r.IsTry {
			handed[r.Call] = append(handed[r.Call], r)
		}
	}
	for _, r := range of(all, Called) {
		if r.Outcome != "not run" {
			continue
		}
		if r.Request == "" {
			fail(r.At, "call %s was answered not run (%d) without its request's id; nothing can be said of it", r.Call, r.Code)
		}
		if ran, ok := runs[r.Request]; ok {
			fail(r.At, "call %s, request %s was answered not run (%d) and ran at %s", r.Call, r.Request, r.Code, ran.Instance)
		}
		for _, first := range handed[r.Call] {
			isSameLife := r.Proxy == first.Proxy && first.At < r.Start && r.At < first.Start+keyBound
			for _, at := range lives[r.Proxy] {
				isSameLife = isSameLife && (at < first.Start || at > r.At)
			}
			if isSameLife {
				fail(r.At, "a repeat of call %s was answered not run (%d) by the proxy that had handed it over as request %s", r.Call, r.Code, first.Request)
			}
		}
	}
}

// wrongAnswer: a success without seal or part of its body, or of another
// request, or one that never ran; or a body that did not arrive whole and ran.
func wrongAnswer(all []Record, fail func(time.Duration, string, ...any)) {
	runs := map[string]bool{}
	for _, r := range of(all, Ran) {
		runs[r.Call+r.Digest] = true
	}
	sent := map[string]string{}
	for _, r := range of(all, Called) {
		sent[r.Call] = r.Digest
	}
	for _, r := range of(all, Ran) {
		if digest, ok := sent[r.Call]; ok && digest != "" && r.Digest != "" && digest != r.Digest {
			fail(r.At, "call %s ran at %s with another body than was sent", r.Call, r.Instance)
		}
	}
	for _, r := range of(all, Called) {
		if r.Status == 200 && (r.Note != "" || !runs[r.Call+r.Digest]) {
			fail(r.At, "call %s got a success that is not its own: %s", r.Call, r.Note)
		}
	}
}

// lateHandOver: a request reaches a server that we knew to be draining or gone.
func lateHandOver(all []Record, fail func(time.Duration, string, ...any)) {
	isBound := touched(all)
	known := map[string]time.Duration{}
	for _, r := range all {
		id := r.Service + "/" + r.Instance
		switch r.Kind {
		case Known:
			if _, ok := known[id]; !ok {
				known[id] = r.At
			}
		case Silent:
			if _, ok := known[id]; !ok {
				known[id] = r.At + max(r.Ttl, 900*time.Millisecond)
			}
		}
	}
	for _, r := range of(all, Ran) {
		came := r.At
		if r.Start > 0 {
			came = r.Start
		}
		if at, ok := known[r.Owner+"/"+r.Instance]; ok && came > at+learnBound+slack && isBound(r.Proxy, came) {
			fail(r.At, "call %s reached %s %s, %s after it was known to go", r.Call, r.Owner, r.Instance, came-at)
		}
	}
}

// wrongService: a request reaches an address that belongs to another service.
func wrongService(all []Record, fail func(time.Duration, string, ...any)) {
	for _, r := range of(all, Ran) {
		if r.Service != r.Owner {
			fail(r.At, "call %s for %s reached %s of %s", r.Call, r.Service, r.Address, r.Owner)
		}
	}
}

// oldPlan: a request is handled under a plan older than one acknowledged
// about two seconds ago.
func oldPlan(all []Record, fail func(time.Duration, string, ...any)) {
	changes, isBound := of(all, Changed), touched(all)
	for _, r := range of(all, Ran) {
		came := r.At
		if r.Start > 0 {
			came = r.Start
		}
		for _, c := range changes {
			if c.Outcome == "accepted" && r.Epoch < c.Epoch && came > c.At+learnBound+slack && isBound(r.Proxy, came) {
				fail(r.At, "call %s was handled under epoch %d, %s after epoch %d was acknowledged", r.Call, r.Epoch, came-c.At, c.Epoch)
				break
			}
		}
	}
}

// slidBack: a request that was called after another was answered through the
// same proxy runs under a lower epoch than that one did. Nothing is forgiven,
// and a proxy that was started anew is the same proxy.
func slidBack(all []Record, fail func(time.Duration, string, ...any)) {
	epochs := map[string]Record{}
	for _, r := range of(all, Ran) {
		epochs[r.Request] = r
	}
	type seen struct {
		at  time.Duration
		ran Record
	}
	answered, called := map[string][]seen{}, map[string][]seen{}
	for _, r := range of(all, Called) {
		ran, ok := epochs[r.Request]
		if !ok {
			continue
		}
		called[r.Proxy] = append(called[r.Proxy], seen{r.Start, ran})
		if r.Outcome != "broken" {
			answered[r.Proxy] = append(answered[r.Proxy], seen{r.At, ran})
		}
	}
	for proxy, list := range called {
		byTime := func(list []seen) func(i, j int) bool { return func(i, j int) bool { return list[i].at < list[j].at } }
		sort.Slice(list, byTime(list))
		before := answered[proxy]
		sort.Slice(before, byTime(before))
		top, next := Record{}, 0
		for _, s := range list {
			for ; next < len(before) && before[next].at < s.at; next++ {
				if before[next].ran.Epoch > top.Epoch {
					top = before[next].ran
				}
			}
			if s.ran.Epoch < top.Epoch {
				fail(s.at, "call %s was handed over by proxy %s under epoch %d after call %s was answered under epoch %d", s.ran.Call, proxy, s.ran.Epoch, top.Call, top.Epoch)
			}
		}
	}
}
