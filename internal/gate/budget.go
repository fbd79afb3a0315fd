// The budget of extra tries: per service, in any ten seconds, a fifth of the
// traffic at most plus this proxy's part of sixty. Our own further tries and
// recognisable repeats by callers count alike. A proxy younger than the window
// has no part of the sixty yet, so that proxies which come and go can't make
// more of it than there is.
package gate

import (
	"sync"
	"time"
)

const (
	window = 10 * time.Second
	slots  = 50
	slot   = window / slots
)

type slotCount struct {
	no             int64
	traffic, extra int
}

type ledger struct {
	slots [slots + 1]slotCount
}

// Budget counts for all services of one proxy.
type Budget struct {
	mu       sync.Mutex
	began    time.Time
	services map[string]*ledger
	keys     map[string]time.Time
	swept    time.Time
}

func NewBudget() *Budget {
	return &Budget{began: time.Now(), services: map[string]*ledger{}, keys: map[string]time.Time{}}
}

func (b *Budget) of(service string) *ledger {
	l := b.services[service]
	if l == nil {
		l = &ledger{}
		b.services[service] = l
	}
	return l
}

func (l *ledger) at(no int64) *slotCount {
	s := &l.slots[no%int64(len(l.slots))]
	if s.no != no {
		*s = slotCount{no: no}
	}
	return s
}

func (l *ledger) sum(no int64) (traffic, extra int) {
	for i := range l.slots {
		if s := &l.slots[i]; s.no > no-slots-1 && s.no <= no {
			extra += s.extra
			if s.no > no-slots {
				traffic += s.traffic
			}
		}
	}
	return traffic, extra
}

func (b *Budget) now() int64 { return int64(time.Since(b.began)/slot) + slots + 1 }

// Traffic counts a request that comes for the first time.
func (b *Budget) Traffic(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.of(service).at(b.now()).traffic++
}

// Extra takes one extra try out of the budget, or says no.
func (b *Budget) Extra(service string, percent int, base float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	no := b.now()
	l := b.of(service)
	if time.Since(b.began) < window {
		base = 0
	}
	traffic, extra := l.sum(no)
	if float64(extra+1) > float64(traffic)*float64(percent)/100+base {
		return false
	}
	l.at(no).extra++
	return true
}

// IsRepeat tells whether a caller's key was seen for the service of late.
func (b *Budget) IsRepeat(service, key string) bool {
	if key == "" {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	if now.Sub(b.swept) > window {
		b.swept = now
		for k, at := range b.keys {
			if now.Sub(at) > 3*window {
				delete(b.keys, k)
			}
		}
	}
	word := service + "\n" + key
	at, ok := b.keys[word]
	b.keys[word] = now
	return ok && now.Sub(at) <= 3*window
}
