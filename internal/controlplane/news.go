// The Roll's news: the target lists of the parts owned here. A new owner of a
// part keeps silent until it has listened for a while, or says that it is young.
package controlplane

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/coordination"
	"github.com/sumactrestle/sumactrestle/internal/eventlog"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// News is the lists of all parts owned here, each with an age that proves that
// everything known at that time is in the list.
func (l *Roll) News(ctx context.Context, ask *rpc.NewsAsk) *rpc.NewsReceipt {
	began := l.r.Now()
	receipt := &rpc.NewsReceipt{}
	for no := range l.books {
		part := l.p.Part(ids.Part(no))
		term, since, isServing := part.Serving()
		isYoung := l.r.Since(since) < l.r.Props.PlanSettle
		if !isServing || isYoung && !l.r.Props.PlanKeep || part.Confirm(ctx, began) != nil {
			continue
		}
		lists := l.lists(ids.Part(no), term, isYoung)
		digest := l.digest(ids.Part(no), lists)
		news := rpc.PartNews{Part: ids.Part(no), Term: term, Digest: digest, Young: isYoung, Age: l.r.Since(began).Microseconds() + 1}
		if ask.Known[ids.Part(no)] != digest {
			news.Lists = lists
		}
		receipt.Parts = append(receipt.Parts, news)
	}
	return receipt
}

// lists is what was heard of a part. A young owner also names those that are
// known to be out and weren't heard from yet.
func (l *Roll) lists(no ids.Part, term ids.Term, isYoung bool) map[string][]rpc.Listed {
	marks, _ := l.books[no].All(coordination.Mark, "")
	marked := map[string]rpc.BondRecord{}
	for _, m := range marks {
		marked[m.Name] = m
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.renew(no, term)
	lists := map[string][]rpc.Listed{}
	for service, instances := range l.beats[no] {
		for instance, h := range instances {
			out := ""
			m, isMarked := marked[service+"/"+instance]
			delete(marked, service+"/"+instance)
			silence := l.r.Since(h.at)
			switch {
			case isMarked:
				out = m.Holder
			case h.beat.State != Serving:
				out = h.beat.State
			case silence >= l.r.Props.PlanSilence:
				out = Silent
			}
			if isIn := out == ""; isIn != h.isIn {
				h.isIn = isIn
				event := eventlog.TargetOut
				if isIn {
					event = eventlog.TargetIn
				}
				l.r.Sign.Say(event, "service", service, "instance", instance, "address", h.beat.Address, "why", out)
			}
			if silence > markKept {
				if isMarked {
					l.r.Go(func() {
						limited, end := context.WithTimeout(l.r, time.Second)
						defer end()
						l.propose(limited, l.p.Part(no), &rpc.BondOp{Op: "unmark", Name: service + "/" + instance, Seq: m.Seq})
					})
				}
				delete(instances, instance)
				continue
			}
			lists[service] = append(lists[service], rpc.Listed{Instance: instance, Address: h.beat.Address, Zone: h.beat.Zone, Weight: h.beat.Weight, Slots: h.beat.Slots, Cold: h.cold, Since: l.r.Since(h.first).Microseconds(), Out: out})
		}
		if len(instances) == 0 {
			delete(l.beats[no], service)
		}
	}
	for name, m := range marked {
		if service, instance, _ := strings.Cut(name, "/"); isYoung {
			lists[service] = append(lists[service], rpc.Listed{Instance: instance, Out: m.Holder})
		}
	}
	for _, list := range lists {
		sort.Slice(list, func(i, j int) bool { return list[i].Instance < list[j].Instance })
	}
	return lists
}

// digest is made anew only when a list says something else than the last time.
func (l *Roll) digest(no ids.Part, lists map[string][]rpc.Listed) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	last, ok := l.told[no]
	if !ok || !isSame(last.lists, lists) {
		last = told{lists, digestOf(lists)}
		l.told[no] = last
	}
	return last.digest
}

func isSame(one, two map[string][]rpc.Listed) bool {
	return maps.EqualFunc(one, two, func(a, b []rpc.Listed) bool {
		return slices.EqualFunc(a, b, func(x, y rpc.Listed) bool {
			x.Since, y.Since = 0, 0
			return x == y
		})
	})
}

// digestOf leaves out the ages, which change all the time.
func digestOf(lists map[string][]rpc.Listed) string {
	bare := make(map[string][]rpc.Listed, len(lists))
	for service, list := range lists {
		list = append([]rpc.Listed(nil), list...)
		for i := range list {
			list[i].Since = 0
		}
		bare[service] = list
	}
	raw, _ := json.Marshal(bare)
	return Digest(raw)
}
