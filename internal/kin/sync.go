// Exchanging member lists: a digest of all that is known goes first, whole lists
// only where it differs, and back only what the other side lacked; so that the cost
// of an exchange does not grow with the fleet while nothing changes.
package kin

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/mark"
	"github.com/sumactrestle/sumactrestle/internal/realm"
	"github.com/sumactrestle/sumactrestle/internal/wire"
)

// seekPause is how soon the seeds are asked again while none has answered.
const seekPause = 100 * time.Millisecond

// sync exchanges whole lists: with the seeds until one answers, and with a
// random member from time to time.
func (k *Kin) sync() {
	isIn := false
	for round := 0; ; round++ {
		var addresses []string
		seeds := *k.seeds.Load()
		if !isIn {
			addresses = seeds
		} else {
			for name, s := range k.View() {
				if name != k.r.Name && rank(s.State) < 2 {
					addresses = append(addresses, s.Wire)
				}
			}
			if len(addresses) > 0 {
				pick := rand.IntN(len(addresses))
				addresses = addresses[pick : pick+1]
			}
			addresses = append(addresses, k.lostInTurn(round)...)
			if len(seeds) > 0 && (rand.IntN(4) == 0 || len(addresses) == 0) {
				addresses = append(addresses, seeds[rand.IntN(len(seeds))])
			}
		}
		if k.syncAny(addresses) {
			isIn = true
		}
		pause := seekPause
		if isIn {
			pause = realm.Jitter(10 * time.Second)
			if len(k.View()) < 3 || len(k.Lost()) > 0 {
				pause = realm.Jitter(time.Second)
			}
		}
		if !k.r.Pause(pause) {
			return
		}
	}
}

// syncAny exchanges with all of them at once, for one that is down says nothing for
// as long as a dial may take, and is true as soon as one has answered.
func (k *Kin) syncAny(addresses []string) bool {
	answers := make(chan bool, len(addresses))
	asked := 0
	for _, address := range addresses {
		if address == k.r.Props.WireAddress || address == k.r.Props.WireAdvertise {
			continue
		}
		asked++
		k.r.Go(func() { answers <- k.Sync(address) })
	}
	for range asked {
		if <-answers {
			return true
		}
	}
	return false
}

// Lost is the members that went down of late without a word, by name: each side of
// a healed cut holds the other for down, and neither probes it.
func (k *Kin) Lost() (members []wire.Member) {
	for _, s := range k.View() {
		if s.State == Down && time.Since(s.Since) < lostKept {
			members = append(members, s.Member)
		}
	}
	slices.SortFunc(members, func(a, b wire.Member) int { return strings.Compare(string(a.Name), string(b.Name)) })
	return members
}

// lostInTurn is whom of the lost to ask in a round: some core nodes, without which
// nothing is decided or heard of, and one of the others; each has its turn.
func (k *Kin) lostInTurn(round int) (addresses []string) {
	var cores, others []string
	for _, m := range k.Lost() {
		if m.Core {
			cores = append(cores, m.Wire)
		} else {
			others = append(others, m.Wire)
		}
	}
	for i := range min(lostCores, len(cores)) {
		addresses = append(addresses, cores[(round*lostCores+i)%len(cores)])
	}
	if len(others) > 0 {
		addresses = append(addresses, others[round%len(others)])
	}
	return addresses
}

// lostCores is how many lost core nodes are asked in one round.
const lostCores = 3

// Sync exchanges whole lists with one address, and once more if that showed
// this node that it was held for down.
func (k *Kin) Sync(address string) bool {
	before := k.Me().Incarnation
	if !k.exchange(address) {
		return false
	}
	if k.Me().Incarnation != before {
		k.exchange(address)
	}
	return true
}

func (k *Kin) exchange(address string) bool {
	ctx, end := context.WithTimeout(k.r, time.Second)
	defer end()
	var receipt wire.KinSync
	if err := k.w.Ask(ctx, address, "kin.sync", &wire.KinSync{Digest: k.digest()}, &receipt); err != nil {
		return false
	}
	if receipt.IsSame {
		return true
	}
	k.take(receipt.Members, true)
	if mine := k.newer(receipt.Members); len(mine) > 0 {
		var again wire.KinSync
		if err := k.w.Ask(ctx, address, "kin.sync", &wire.KinSync{Members: mine, Digest: k.digest()}, &again); err != nil {
			return false
		}
		// One that was held for down here has refuted that in its second answer.
		k.take(again.Members, true)
	}
	return true
}

// digest is one number for all that is known here.
func (k *Kin) digest() (sum uint64) {
	for _, m := range k.list() {
		sum ^= mark.Score(string(m.Name), string(m.Birth), strconv.FormatUint(m.Incarnation, 10), m.State)
	}
	return max(sum, 1)
}

// newer is what is known here and not, or less, in another's list.
func (k *Kin) newer(theirs []wire.Member) (mine []wire.Member) {
	known := map[mark.Name]wire.Member{}
	for _, m := range theirs {
		known[m.Name] = m
	}
	for _, m := range k.list() {
		old, ok := known[m.Name]
		if !ok || old.Birth != m.Birth || old.Incarnation < m.Incarnation || old.Incarnation == m.Incarnation && rank(old.State) < rank(m.State) {
			mine = append(mine, m)
		}
	}
	return mine
}

// presents tells whether this node's own record goes with an acknowledgement:
// often while it is new, then seldom.
func (k *Kin) presents() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.shownAt != k.me.Incarnation {
		k.shownAt, k.shown = k.me.Incarnation, 0
	}
	k.shown++
	return k.shown <= presentOften || k.shown%presentSeldom == 0
}
