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
	pushPullInterval     = 10 * time.Second
	fastPushPullInterval = time.Second
	minJoinRetry         = 100 * time.Millisecond // until a seed has answered
	maxJoinRetry         = 2 * time.Second
	recoveryPeriod       = 10 * time.Second

	membersPerRange = 8
	maxRanges       = 64
	maxFullSyncs    = 4
)

// pushPullLoop compares lists: with the seeds until one answers, and with a random member
// from time to time; sooner for a while after some came back that were held for down,
// as whoever was on the other side of a cut must learn who was on this one.
func (m *Memberlist) pushPullLoop() {
	isIn, join := false, minJoinRetry
	for {
		var addresses []string
		seeds := *m.seeds.Load()
		if !isIn {
			addresses = seeds
		} else {
			for name, s := range m.View() {
				if name != m.env.Name && statePrecedence(s.State) < 2 {
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
		m.refused.Store(false)
		if m.pushPullAny(addresses) {
			isIn = true
		}
		isRefused := m.refused.Load()
		pause := join
		switch {
		case isIn && (len(m.View()) < 3 || m.recentlyRecovered()):
			pause = fastPushPullInterval
		case isIn:
			pause = pushPullInterval
		case isRefused:
			join = min(2*join, maxJoinRetry)
		}
		if isIn || isRefused {
			pause = environment.Jitter(pause)
		}
		if !m.env.Sleep(pause) {
			return
		}
	}
}

// pushPullAny compares with all of them at once, for one that is down says nothing for
// as long as a dial may take, and is true as soon as one has answered.
func (m *Memberlist) pushPullAny(addresses []string) bool {
	answers := make(chan bool, len(addresses))
	asked := 0
	for _, address := range addresses {
		if address == m.env.Config.WireAddress || address == m.env.Config.WireAdvertise {
			continue
		}
		asked++
		m.env.Go(func() { answers <- m.PushPull(address) })
	}
	for range asked {
		if <-answers {
			return true
		}
	}
	return false
}

func (m *Memberlist) recentlyRecovered() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.lastRecovery.IsZero() && time.Since(m.lastRecovery) < recoveryPeriod
}

// PushPull compares lists with one address, and once more if that showed this node that
// it was held for down.
func (m *Memberlist) PushPull(address string) bool {
	before := m.Self().Incarnation
	if !m.pushPullNode(address, false) {
		return false
	}
	if m.Self().Incarnation != before {
		m.pushPullNode(address, true)
	}
	return true
}

// pushPullNode makes two lists the same; with isShown this node tells of itself first.
func (m *Memberlist) pushPullNode(address string, isShown bool) bool {
	ctx, cancel := context.WithTimeout(m.env, time.Second)
	defer cancel()
	request := &rpc.MembershipSync{RangeCount: m.rangeCount()}
	if isShown || request.RangeCount == 1 {
		request.Members = []rpc.Member{m.Self()}
	}
	request.Digest = m.listDigest()
	var response rpc.MembershipSync
	if err := m.transport.Ask(ctx, address, "kin.sync", request, &response); err != nil {
		return false
	}
	switch {
	case response.RetryAfterMillis > 0:
		m.refused.Store(true)
		return false
	case response.Same:
		return true
	case request.RangeCount > 1 && len(response.RangeDigests) == request.RangeCount:
		mine := m.rangeDigests(request.RangeCount)
		request = &rpc.MembershipSync{RangeCount: request.RangeCount}
		for index, sum := range response.RangeDigests {
			if sum != mine[index] {
				request.DifferingRanges = append(request.DifferingRanges, index)
			}
		}
		if len(request.DifferingRanges) == 0 {
			return true
		}
		request.Members = m.membersInRanges(request.RangeCount, request.DifferingRanges)
		response = rpc.MembershipSync{}
		if err := m.transport.Ask(ctx, address, "kin.sync", request, &response); err != nil {
			return false
		}
		m.merge(response.Members, true)
		return true
	}
	m.merge(response.Members, true)
	if mine := supersedingMembers(m.allMembers(), response.Members); len(mine) > 0 {
		request = &rpc.MembershipSync{Members: mine, Digest: m.listDigest(), RangeCount: maxRanges}
		for _, member := range mine {
			if index := rangeOf(member.Name, maxRanges); !slices.Contains(request.DifferingRanges, index) {
				request.DifferingRanges = append(request.DifferingRanges, index)
			}
		}
		response = rpc.MembershipSync{}
		if err := m.transport.Ask(ctx, address, "kin.sync", request, &response); err != nil {
			return false
		}
		// One that was held for down here has refuted that in its second answer.
		m.merge(response.Members, true)
	}
	return true
}

// handlePushPull answers an exchange.
func (m *Memberlist) handlePushPull(request *rpc.MembershipSync) (any, error) {
	m.merge(request.Members, len(request.Members) > 1)
	switch {
	case request.Digest != 0 && request.Digest == m.listDigest():
		return &rpc.MembershipSync{Same: true}, nil
	case request.RangeCount > maxRanges || request.RangeCount < 0:
		request.RangeCount = 0
	case len(request.DifferingRanges) > 0 && request.RangeCount > 1:
		return &rpc.MembershipSync{Members: supersedingMembers(m.membersInRanges(request.RangeCount, request.DifferingRanges), request.Members)}, nil
	case request.RangeCount > 1:
		return &rpc.MembershipSync{RangeDigests: m.rangeDigests(request.RangeCount)}, nil
	}
	if m.fullSyncs.Add(1) > maxFullSyncs && request.RangeCount == 1 {
		m.fullSyncs.Add(-1)
		return &rpc.MembershipSync{RetryAfterMillis: minJoinRetry.Milliseconds()}, nil
	}
	leave := func() { m.fullSyncs.Add(-1) }
	raw, err := m.encodedMembers()
	if err != nil {
		leave()
		return nil, err
	}
	return &rpc.Raw{Body: raw, Sent: leave}, nil
}

// encodedView is a view's whole list as it goes out.
type encodedView struct {
	view *map[ids.NodeName]NodeState
	raw  json.RawMessage
}

func (m *Memberlist) encodedMembers() (json.RawMessage, error) {
	view := m.view.Load()
	if kept := m.encoded.Load(); kept != nil && kept.view == view {
		return kept.raw, nil
	}
	raw, err := json.Marshal(&rpc.MembershipSync{Members: membersOf(*view)})
	if err != nil {
		return nil, err
	}
	m.encoded.Store(&encodedView{view, raw})
	return raw, nil
}

func membersOf(view map[ids.NodeName]NodeState) []rpc.Member {
	list := make([]rpc.Member, 0, len(view))
	for _, s := range view {
		list = append(list, s.Member)
	}
	return list
}

func (m *Memberlist) allMembers() []rpc.Member { return membersOf(m.View()) }

// rangeCount is into how many ranges of names the list is cut, some members in each; one
// for who knows next to nobody.
func (m *Memberlist) rangeCount() int {
	n := 1
	for n*membersPerRange < len(m.View()) && n < maxRanges {
		n *= 2
	}
	return n
}

func rangeOf(name ids.NodeName, ranges int) int {
	return int(ids.Hash("range", string(name)) % uint64(ranges))
}

// memberDigest is a member's part in a digest. Those that are gone have none: a node that
// came later never learns of them, and its list would differ for good.
func memberDigest(m rpc.Member) uint64 {
	if statePrecedence(m.State) == 2 {
		return 0
	}
	return ids.Hash(string(m.Name), string(m.ID), strconv.FormatUint(m.Incarnation, 10), m.State)
}

// listDigest is one number for all that is known here.
func (m *Memberlist) listDigest() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(m.digestOfOthers^memberDigest(m.self), 1)
}

// rangeDigests is one number for each range.
func (m *Memberlist) rangeDigests(ranges int) []uint32 {
	sums := make([]uint32, ranges)
	for name, s := range m.View() {
		sums[rangeOf(name, ranges)] ^= uint32(memberDigest(s.Member))
	}
	return sums
}

// membersInRanges is the members of some ranges.
func (m *Memberlist) membersInRanges(ranges int, selected []int) (list []rpc.Member) {
	isMeant := make([]bool, ranges)
	for _, index := range selected {
		if index >= 0 && index < ranges {
			isMeant[index] = true
		}
	}
	for name, s := range m.View() {
		if isMeant[rangeOf(name, ranges)] {
			list = append(list, s.Member)
		}
	}
	return list
}

// supersedingMembers is what one list says and another does not, or less of.
func supersedingMembers(ours, theirs []rpc.Member) (mine []rpc.Member) {
	known := map[ids.NodeName]rpc.Member{}
	for _, m := range theirs {
		known[m.Name] = m
	}
	for _, m := range ours {
		old, ok := known[m.Name]
		if !ok && statePrecedence(m.State) < 2 || ok && (old.ID != m.ID || old.Incarnation < m.Incarnation || old.Incarnation == m.Incarnation && statePrecedence(old.State) < statePrecedence(m.State)) {
			mine = append(mine, m)
		}
	}
	return mine
}

// announcesSelf tells whether this node's own record goes with an acknowledgement:
// often while it is new, then seldom.
func (m *Memberlist) announcesSelf() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.announcedIncarnation != m.self.Incarnation {
		m.announcedIncarnation, m.announcements = m.self.Incarnation, 0
	}
	m.announcements++
	return m.announcements <= initialAnnouncements || m.announcements%announceEvery == 0
}
