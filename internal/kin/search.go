// Looking for members that went down without a word: each side of a healed cut holds
// the other for down, and neither probes it. For each lost member a few nodes look, by
// a score of both names that all reckon alike, and ask the lost one alone, at pauses
// that grow; all others wait for the news.
package kin

import (
	"time"

	"github.com/sumactrestle/sumactrestle/internal/mark"
	"github.com/sumactrestle/sumactrestle/internal/realm"
)

const (
	searchers   = 3
	searchTurn  = 500 * time.Millisecond
	searchFirst = time.Second
	searchMost  = 5 * time.Second
)

// hunt is the search for one lost member.
type hunt struct {
	next  time.Time
	pause time.Duration
}

func (k *Kin) search() {
	hunts := map[mark.Name]*hunt{}
	for k.r.Pause(realm.Jitter(searchTurn)) {
		if name, address := k.due(hunts, time.Now()); name != "" {
			k.Sync(address)
		}
	}
}

// due picks the lost member that is to be asked now, if there is one, and sets when
// it is to be asked again.
func (k *Kin) due(hunts map[mark.Name]*hunt, now time.Time) (name mark.Name, address string) {
	view := k.View()
	for lost, s := range view {
		isLost := s.State == Down && now.Sub(s.Since) < lostKept
		if !isLost || !k.searches(view, lost) {
			delete(hunts, lost)
			continue
		}
		h, ok := hunts[lost]
		if !ok {
			h = &hunt{next: now, pause: searchFirst / 2}
			hunts[lost] = h
		}
		if !h.next.After(now) && (name == "" || h.next.Before(hunts[name].next)) {
			name, address = lost, s.Wire
		}
	}
	if name != "" {
		h := hunts[name]
		h.pause = min(2*h.pause, searchMost)
		h.next = now.Add(realm.Jitter(h.pause))
	}
	return name, address
}

// searches tells whether this node is one of the few that look for a lost member.
func (k *Kin) searches(view map[mark.Name]Standing, lost mark.Name) bool {
	mine, before := mark.Score(string(lost), string(k.r.Name)), 0
	for name, s := range view {
		if name != k.r.Name && rank(s.State) < 2 && mark.Score(string(lost), string(name)) < mine {
			if before++; before >= searchers {
				return false
			}
		}
	}
	return true
}
