package membership

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// pushPullState belongs to the exchange of lists.
type pushPullState struct {
	// refused says that a member turned the last exchange away because of its load.
	refused atomic.Bool
	// fullSyncs counts the complete lists under way.
	fullSyncs atomic.Int64
	// encoded is the last complete list that was encoded.
	encoded atomic.Pointer[encodedView]
}

// encodedView is a view's complete list as it goes out.
type encodedView struct {
	view *map[ids.NodeName]NodeState
	raw  json.RawMessage
}

// pushPullLoop exchanges lists: with the seeds until one answers, then with one member at
// random from time to time. Gossip alone may miss a member; this does not.
func (m *Memberlist) pushPullLoop() {
	joined, joinRetry := false, minJoinRetry
	for {
		m.pushPull.refused.Store(false)
		if m.pushPullAny(m.pushPullAddresses(joined)) {
			joined = true
		}
		refused := m.pushPull.refused.Load()
		pause := joinRetry
		switch {
		case joined && (len(m.View()) < 3 || m.recentlyRecovered()):
			pause = fastPushPullInterval
		case joined:
			pause = pushPullInterval
		case refused:
			joinRetry = min(2*joinRetry, maxJoinRetry)
		}
		if joined || refused {
			pause = environment.Jitter(pause)
		}
		if !m.env.Sleep(pause) {
			return
		}
	}
}

// pushPullAddresses returns whom to exchange lists with next: all seeds before this node
// has joined; then one member at random and, in one of four exchanges or if there is no
// member, one seed, which joins fleets that were founded apart.
func (m *Memberlist) pushPullAddresses(joined bool) []string {
	seeds := *m.seeds.Load()
	if !joined {
		return seeds
	}
	var addresses []string
	for name, member := range m.View() {
		if name != m.env.Name && member.IsLive() {
			addresses = append(addresses, member.RPCAddress)
		}
	}
	if len(addresses) > 0 {
		addresses = []string{addresses[rand.IntN(len(addresses))]}
	}
	if len(seeds) > 0 && (rand.IntN(4) == 0 || len(addresses) == 0) {
		addresses = append(addresses, seeds[rand.IntN(len(seeds))])
	}
	return addresses
}

// pushPullAny exchanges lists with all addresses at once, since a dead one says nothing
// for as long as a dial may take, and returns true as soon as one has answered.
func (m *Memberlist) pushPullAny(addresses []string) bool {
	answers := make(chan bool, len(addresses))
	asked := 0
	for _, address := range addresses {
		if address == m.config.bindAddress || address == m.config.advertiseAddress {
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

// PushPull makes this node's list and that of the node at the address the same, as far as
// members are live. It exchanges once more if the first time showed this node that it was
// held for suspect or dead, to hand over the refutation. It reports whether the other
// answered.
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

// introduceTo makes this node, and all it knows, known to one that asked who it is:
// machines that come back together find one another first, and nobody else.
func (m *Memberlist) introduceTo(name ids.NodeName) {
	member, ok := m.Lookup(name)
	if !ok || !m.introducing.CompareAndSwap(false, true) {
		return
	}
	m.env.Go(func() {
		defer m.introducing.Store(false)
		m.pushPullNode(member.RPCAddress, true)
	})
}

// AnnounceSelf tells all live core members of this node's own record at once, over
// connections. Gossip spreads it too, but takes as long as it takes until somebody probes
// this node: too long for what the core waits for.
func (m *Memberlist) AnnounceSelf() {
	for _, member := range m.CoreMembers() {
		if member.Name != m.env.Name {
			m.env.Go(func() { m.pushPullNode(member.RPCAddress, true) })
		}
	}
}

// pushPullNode is one exchange. A digest of the complete list goes first. If the other's
// differs, it answers with a digest of each range of names, and only members of ranges
// that differ travel: an exchange costs what has changed, not what the fleet is. A node
// that knows next to nobody gets the complete list instead. With announce set, this
// node's own record goes first.
func (m *Memberlist) pushPullNode(address string, announce bool) bool {
	ctx, cancel := context.WithTimeout(m.env, pushPullTimeout)
	defer cancel()
	request := &rpc.MembershipSync{RangeCount: m.rangeCount()}
	if announce || request.RangeCount == 1 {
		request.Members = []rpc.Member{m.Self()}
	}
	request.Digest = m.listDigest()
	response, ok := m.requestPushPull(ctx, address, request)
	switch {
	case !ok:
		return false
	case response.RetryAfterMillis > 0:
		m.pushPull.refused.Store(true)
		return false
	case response.Same:
		return true
	case request.RangeCount > 1 && len(response.RangeDigests) == request.RangeCount:
		return m.pushPullRanges(ctx, address, response.RangeDigests)
	}
	m.mergeList(response.Members)
	return m.pushMissing(ctx, address, response.Members)
}

// pushPullRanges exchanges the members of the ranges whose digests differ.
func (m *Memberlist) pushPullRanges(ctx context.Context, address string, theirs []uint32) bool {
	request := &rpc.MembershipSync{RangeCount: len(theirs)}
	for index, digest := range m.rangeDigests(len(theirs)) {
		if digest != theirs[index] {
			request.DifferingRanges = append(request.DifferingRanges, index)
		}
	}
	if len(request.DifferingRanges) == 0 {
		return true
	}
	request.Members = m.membersInRanges(request.RangeCount, request.DifferingRanges)
	response, ok := m.requestPushPull(ctx, address, request)
	if ok {
		m.mergeList(response.Members)
	}
	return ok
}

// pushMissing tells the other what its complete list lacks. In its answer the other
// refutes what this node holds of it, if it must.
func (m *Memberlist) pushMissing(ctx context.Context, address string, theirs []rpc.Member) bool {
	missing := supersedingMembers(m.allMembers(), theirs)
	if len(missing) == 0 {
		return true
	}
	request := &rpc.MembershipSync{Members: missing, Digest: m.listDigest(), RangeCount: maxRanges}
	for _, member := range missing {
		if index := rangeOf(member.Name, maxRanges); !slices.Contains(request.DifferingRanges, index) {
			request.DifferingRanges = append(request.DifferingRanges, index)
		}
	}
	response, ok := m.requestPushPull(ctx, address, request)
	if ok {
		m.mergeList(response.Members)
	}
	return ok
}

func (m *Memberlist) requestPushPull(ctx context.Context, address string, request *rpc.MembershipSync) (response rpc.MembershipSync, ok bool) {
	err := m.transport.Call(ctx, address, kindPushPull, request, &response)
	return response, err == nil
}

// handlePushPull answers an exchange: with the members of the ranges that the request
// names as differing, with digests of ranges, or with the complete list. Of complete
// lists only maxFullSyncs are under way at once; who asks for one more comes again.
func (m *Memberlist) handlePushPull(request *rpc.MembershipSync) (any, error) {
	if len(request.Members) > 1 {
		m.mergeList(request.Members)
	} else {
		m.applyUpdates(request.Members)
	}
	if request.Digest != 0 && request.Digest == m.listDigest() {
		return &rpc.MembershipSync{Same: true}, nil
	}
	if request.RangeCount < 0 || request.RangeCount > maxRanges {
		request.RangeCount = 0
	}
	if request.RangeCount > 1 {
		if len(request.DifferingRanges) > 0 {
			ours := m.membersInRanges(request.RangeCount, request.DifferingRanges)
			return &rpc.MembershipSync{Members: supersedingMembers(ours, request.Members)}, nil
		}
		return &rpc.MembershipSync{RangeDigests: m.rangeDigests(request.RangeCount)}, nil
	}
	return m.sendFullList(request.RangeCount == 1)
}

// sendFullList answers with the complete list, or with when to come again. Older builds
// don't know of the latter and are given the list in any case.
func (m *Memberlist) sendFullList(mayRetry bool) (any, error) {
	if m.pushPull.fullSyncs.Add(1) > maxFullSyncs && mayRetry {
		m.pushPull.fullSyncs.Add(-1)
		return &rpc.MembershipSync{RetryAfterMillis: minJoinRetry.Milliseconds()}, nil
	}
	done := func() { m.pushPull.fullSyncs.Add(-1) }
	raw, err := m.encodedMembers()
	if err != nil {
		done()
		return nil, err
	}
	return &rpc.EncodedResponse{Body: raw, Release: done}, nil
}

// encodedMembers returns the complete list encoded, once for each view.
func (m *Memberlist) encodedMembers() (json.RawMessage, error) {
	view := m.view.Load()
	if encoded := m.pushPull.encoded.Load(); encoded != nil && encoded.view == view {
		return encoded.raw, nil
	}
	raw, err := json.Marshal(&rpc.MembershipSync{Members: membersOf(*view)})
	if err != nil {
		return nil, err
	}
	m.pushPull.encoded.Store(&encodedView{view, raw})
	return raw, nil
}

func (m *Memberlist) allMembers() []rpc.Member { return membersOf(m.View()) }

func membersOf(view map[ids.NodeName]NodeState) []rpc.Member {
	list := make([]rpc.Member, 0, len(view))
	for _, member := range view {
		list = append(list, member.Member)
	}
	return list
}

// supersedingMembers returns the members of which ours says something that theirs does
// not. Unlike in supersedes, another life of a node counts in any state: the receiver
// judges it by supersedes itself.
func supersedingMembers(ours, theirs []rpc.Member) (superseding []rpc.Member) {
	known := make(map[ids.NodeName]rpc.Member, len(theirs))
	for _, member := range theirs {
		known[member.Name] = member
	}
	for _, member := range ours {
		other, isKnown := known[member.Name]
		if isKnown && other.ID != member.ID || supersedes(member, other, isKnown) {
			superseding = append(superseding, member)
		}
	}
	return superseding
}
