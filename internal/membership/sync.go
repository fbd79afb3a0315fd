// Exchanging member lists: a digest of all that is known goes first; where it differs
// the digests of ranges of names, and members only of those ranges that differ. So an
// exchange costs what has changed, not what the fleet is. Whole lists go to those who
// know next to nobody: encoded once for a view, and only so many at once.
package membership

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

const (
	syncPause  = 10 * time.Second
	syncSoon   = time.Second
	joinPause  = 100 * time.Millisecond // until a seed has answered
	joinSeldom = 2 * time.Second
	stirTime   = 10 * time.Second

	rangeSize  = 8
	rangesMost = 64
	listsMost  = 4
)

// sync compares lists: with the seeds until one answers, and with a random member
// from time to time; sooner for a while after some came back that were held for down,
// as whoever was on the other side of a cut must learn who was on this one.
func (k *Memberlist) sync() {
	isIn, join := false, joinPause
	for {
		var addresses []string
		seeds := *k.seeds.Load()
		if !isIn {
			addresses = seeds
		} else {
			for name, s := range k.View() {
				if name != k.r.Name && rank(s.State) < 2 {
					addresses = append(addresses, s.RPCAddress)
				}
			}
			if len(addresses) > 0 {
				pick := rand.IntN(len(addresses))
				addresses = addresses[pick : pick+1]
			}
			if len(seeds) > 0 && (rand.IntN(4) == 0 || len(addresses) == 0) {
				addresses = append(addresses, seeds[rand.IntN(len(seeds))])
			}
		}
		k.isRefused.Store(false)
		if k.syncAny(addresses) {
			isIn = true
		}
		isRefused := k.isRefused.Load()
		pause := join
		switch {
		case isIn && (len(k.View()) < 3 || k.isStirred()):
			pause = syncSoon
		case isIn:
			pause = syncPause
		case isRefused:
			join = min(2*join, joinSeldom)
		}
		if isIn || isRefused {
			pause = environment.Jitter(pause)
		}
		if !k.r.Sleep(pause) {
			return
		}
	}
}

// syncAny compares with all of them at once, for one that is down says nothing for
// as long as a dial may take, and is true as soon as one has answered.
func (k *Memberlist) syncAny(addresses []string) bool {
	answers := make(chan bool, len(addresses))
	asked := 0
	for _, address := range addresses {
		if address == k.r.Config.WireAddress || address == k.r.Config.WireAdvertise {
			continue
		}
		asked++
		k.r.Go(func() { answers <- k.PushPull(address) })
	}
	for range asked {
		if <-answers {
			return true
		}
	}
	return false
}

func (k *Memberlist) isStirred() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return !k.stirred.IsZero() && time.Since(k.stirred) < stirTime
}

// PushPull compares lists with one address, and once more if that showed this node that
// it was held for down.
func (k *Memberlist) PushPull(address string) bool {
	before := k.Self().Incarnation
	if !k.exchange(address, false) {
		return false
	}
	if k.Self().Incarnation != before {
		k.exchange(address, true)
	}
	return true
}

// exchange makes two lists the same; with isShown this node tells of itself first.
func (k *Memberlist) exchange(address string, isShown bool) bool {
	ctx, end := context.WithTimeout(k.r, time.Second)
	defer end()
	ask := &rpc.MembershipSync{RangeCount: k.ranges()}
	if isShown || ask.RangeCount == 1 {
		ask.Members = []rpc.Member{k.Self()}
	}
	ask.Digest = k.digest()
	var receipt rpc.MembershipSync
	if err := k.w.Ask(ctx, address, "kin.sync", ask, &receipt); err != nil {
		return false
	}
	switch {
	case receipt.RetryAfterMillis > 0:
		k.isRefused.Store(true)
		return false
	case receipt.Same:
		return true
	case ask.RangeCount > 1 && len(receipt.RangeDigests) == ask.RangeCount:
		mine := k.sums(ask.RangeCount)
		ask = &rpc.MembershipSync{RangeCount: ask.RangeCount}
		for no, sum := range receipt.RangeDigests {
			if sum != mine[no] {
				ask.DifferingRanges = append(ask.DifferingRanges, no)
			}
		}
		if len(ask.DifferingRanges) == 0 {
			return true
		}
		ask.Members = k.within(ask.RangeCount, ask.DifferingRanges)
		receipt = rpc.MembershipSync{}
		if err := k.w.Ask(ctx, address, "kin.sync", ask, &receipt); err != nil {
			return false
		}
		k.take(receipt.Members, true)
		return true
	}
	k.take(receipt.Members, true)
	if mine := newer(k.whole(), receipt.Members); len(mine) > 0 {
		ask = &rpc.MembershipSync{Members: mine, Digest: k.digest(), RangeCount: rangesMost}
		for _, m := range mine {
			if no := rangeOf(m.Name, rangesMost); !slices.Contains(ask.DifferingRanges, no) {
				ask.DifferingRanges = append(ask.DifferingRanges, no)
			}
		}
		receipt = rpc.MembershipSync{}
		if err := k.w.Ask(ctx, address, "kin.sync", ask, &receipt); err != nil {
			return false
		}
		// One that was held for down here has refuted that in its second answer.
		k.take(receipt.Members, true)
	}
	return true
}

// compare answers an exchange.
func (k *Memberlist) compare(ask *rpc.MembershipSync) (any, error) {
	k.take(ask.Members, len(ask.Members) > 1)
	switch {
	case ask.Digest != 0 && ask.Digest == k.digest():
		return &rpc.MembershipSync{Same: true}, nil
	case ask.RangeCount > rangesMost || ask.RangeCount < 0:
		ask.RangeCount = 0
	case len(ask.DifferingRanges) > 0 && ask.RangeCount > 1:
		return &rpc.MembershipSync{Members: newer(k.within(ask.RangeCount, ask.DifferingRanges), ask.Members)}, nil
	case ask.RangeCount > 1:
		return &rpc.MembershipSync{RangeDigests: k.sums(ask.RangeCount)}, nil
	}
	if k.lists.Add(1) > listsMost && ask.RangeCount == 1 {
		k.lists.Add(-1)
		return &rpc.MembershipSync{RetryAfterMillis: joinPause.Milliseconds()}, nil
	}
	leave := func() { k.lists.Add(-1) }
	raw, err := k.encoded()
	if err != nil {
		leave()
		return nil, err
	}
	return &rpc.Raw{Body: raw, Sent: leave}, nil
}

// listed is a view's whole list as it goes out.
type listed struct {
	view *map[ids.NodeName]NodeState
	raw  json.RawMessage
}

func (k *Memberlist) encoded() (json.RawMessage, error) {
	view := k.view.Load()
	if kept := k.listed.Load(); kept != nil && kept.view == view {
		return kept.raw, nil
	}
	raw, err := json.Marshal(&rpc.MembershipSync{Members: listOf(*view)})
	if err != nil {
		return nil, err
	}
	k.listed.Store(&listed{view, raw})
	return raw, nil
}

func listOf(view map[ids.NodeName]NodeState) []rpc.Member {
	list := make([]rpc.Member, 0, len(view))
	for _, s := range view {
		list = append(list, s.Member)
	}
	return list
}

func (k *Memberlist) whole() []rpc.Member { return listOf(k.View()) }

// ranges is into how many ranges of names the list is cut, some members in each; one
// for who knows next to nobody.
func (k *Memberlist) ranges() int {
	n := 1
	for n*rangeSize < len(k.View()) && n < rangesMost {
		n *= 2
	}
	return n
}

func rangeOf(name ids.NodeName, ranges int) int {
	return int(ids.Hash("range", string(name)) % uint64(ranges))
}

// sumOf is a member's part in a digest. Those that are gone have none: a node that
// came later never learns of them, and its list would differ for good.
func sumOf(m rpc.Member) uint64 {
	if rank(m.State) == 2 {
		return 0
	}
	return ids.Hash(string(m.Name), string(m.ID), strconv.FormatUint(m.Incarnation, 10), m.State)
}

// digest is one number for all that is known here.
func (k *Memberlist) digest() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return max(k.sum^sumOf(k.me), 1)
}

// sums is one number for each range.
func (k *Memberlist) sums(ranges int) []uint32 {
	sums := make([]uint32, ranges)
	for name, s := range k.View() {
		sums[rangeOf(name, ranges)] ^= uint32(sumOf(s.Member))
	}
	return sums
}

// within is the members of some ranges.
func (k *Memberlist) within(ranges int, some []int) (list []rpc.Member) {
	isMeant := make([]bool, ranges)
	for _, no := range some {
		if no >= 0 && no < ranges {
			isMeant[no] = true
		}
	}
	for name, s := range k.View() {
		if isMeant[rangeOf(name, ranges)] {
			list = append(list, s.Member)
		}
	}
	return list
}

// newer is what one list says and another does not, or less of.
func newer(ours, theirs []rpc.Member) (mine []rpc.Member) {
	known := map[ids.NodeName]rpc.Member{}
	for _, m := range theirs {
		known[m.Name] = m
	}
	for _, m := range ours {
		old, ok := known[m.Name]
		if !ok && rank(m.State) < 2 || ok && (old.ID != m.ID || old.Incarnation < m.Incarnation || old.Incarnation == m.Incarnation && rank(old.State) < rank(m.State)) {
			mine = append(mine, m)
		}
	}
	return mine
}

// presents tells whether this node's own record goes with an acknowledgement:
// often while it is new, then seldom.
func (k *Memberlist) presents() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.shownAt != k.me.Incarnation {
		k.shownAt, k.shown = k.me.Incarnation, 0
	}
	k.shown++
	return k.shown <= presentOften || k.shown%presentSeldom == 0
}
