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

// pushPullState is the state of push/pull exchanges.
type pushPullState struct {
	// refused is set when a node refuses an exchange because of its load. pushPullLoop
	// resets it before each attempt.
	refused atomic.Bool
	// fullSyncs counts the complete lists that are being sent.
	fullSyncs atomic.Int64
	// encoded caches the last complete list that was encoded.
	encoded atomic.Pointer[encodedView]
}

// encodedView is a view with its list encoded as a MembershipSync.
type encodedView struct {
	view *map[ids.NodeName]NodeState
	raw  json.RawMessage
}

// pushPullLoop exchanges lists with the seeds until one answers, then periodically with a
// random member, which also spreads updates that gossip missed.
func (m *Memberlist) pushPullLoop() {
	joined, retryDelay := false, minJoinRetryDelay
	for {
		m.pushPull.refused.Store(false)
		if m.pushPullAny(m.pushPullAddresses(joined)) {
			joined = true
		}
		refused := m.pushPull.refused.Load()
		pause := retryDelay
		switch {
		case joined && (len(m.View()) < 3 || m.recentlyRecovered()):
			pause = fastPushPullInterval
		case joined:
			pause = pushPullInterval
		case refused:
			retryDelay = min(2*retryDelay, maxJoinRetryDelay)
		}
		if joined || refused {
			pause = environment.Jitter(pause)
		}
		if !m.env.Sleep(pause) {
			return
		}
	}
}

// pushPullAddresses returns the addresses for the next exchange. Before this node has
// joined these are all seeds, afterwards one random live member. A random seed is added in
// one of four exchanges, or if there is no live member, to merge fleets that formed
// separately.
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

// pushPullAny exchanges lists with all addresses concurrently and returns true as soon as
// one has answered. It does so concurrently because a dead node delays its exchange until
// the dial times out.
func (m *Memberlist) pushPullAny(addresses []string) bool {
	answers := make(chan bool, len(addresses))
	attempts := 0
	for _, address := range addresses {
		if address == m.config.bindAddress || address == m.config.advertiseAddress {
			continue
		}
		attempts++
		m.env.Go(func() { answers <- m.PushPull(address) })
	}
	for range attempts {
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

// PushPull synchronizes the live members of this node's list and the list of the node at
// an address, and reports whether that node answered. If the exchange made this node refute
// its own suspicion or death, a second exchange delivers the refutation.
func (m *Memberlist) PushPull(address string) bool {
	incarnation := m.Self().Incarnation
	if !m.pushPullNode(address, false) {
		return false
	}
	if m.Self().Incarnation != incarnation {
		m.pushPullNode(address, true)
	}
	return true
}

// announceTo starts an exchange with a node that asked for this node's record. The exchange
// covers the complete lists, because nodes that restart together at first discover only one
// another.
func (m *Memberlist) announceTo(name ids.NodeName) {
	member, ok := m.Lookup(name)
	if !ok || !m.announcing.CompareAndSwap(false, true) {
		return
	}
	m.env.Go(func() {
		defer m.announcing.Store(false)
		m.pushPullNode(member.RPCAddress, true)
	})
}

// AnnounceSelf sends this node's own record to all live core members over connections.
// Gossip spreads the record only after another member has probed this node. That is too
// late for a leader that needs to know a node that has joined to replace a lost voter.
func (m *Memberlist) AnnounceSelf() {
	for _, member := range m.CoreMembers() {
		if member.Name != m.env.Name {
			m.env.Go(func() { m.pushPullNode(member.RPCAddress, true) })
		}
	}
}

// pushPullNode runs one exchange. The request contains a digest of the complete list. If
// the other node's digest differs, it answers with a digest per range of names, and only
// the members of differing ranges are sent, so that the cost depends on the number of
// changes and not on the fleet size. A node that knows at most membersPerRange members
// requests the complete list instead. The request includes this node's own record if
// announce is set or the complete list is requested.
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

// pushPullRanges exchanges the members of the ranges whose digests differ from those of the
// node at the address.
func (m *Memberlist) pushPullRanges(ctx context.Context, address string, remoteDigests []uint32) bool {
	request := &rpc.MembershipSync{RangeCount: len(remoteDigests)}
	for index, digest := range m.rangeDigests(len(remoteDigests)) {
		if digest != remoteDigests[index] {
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

// pushMissing sends the records that supersede those in the other node's complete list. If
// one of them is a suspicion or death of that node, its response contains the refutation.
func (m *Memberlist) pushMissing(ctx context.Context, address string, remoteMembers []rpc.Member) bool {
	missing := supersedingMembers(m.allMembers(), remoteMembers)
	if len(missing) == 0 {
		return true
	}
	request := &rpc.MembershipSync{Members: missing, Digest: m.listDigest(), RangeCount: maxRanges}
	for _, member := range missing {
		if index := rangeIndex(member.Name, maxRanges); !slices.Contains(request.DifferingRanges, index) {
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

// handlePushPull merges the members in a request and returns the response: Same if the
// digests match, otherwise the members of the differing ranges that the request names, the
// digests of all ranges, or the complete list.
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
			localMembers := m.membersInRanges(request.RangeCount, request.DifferingRanges)
			return &rpc.MembershipSync{Members: supersedingMembers(localMembers, request.Members)}, nil
		}
		return &rpc.MembershipSync{RangeDigests: m.rangeDigests(request.RangeCount)}, nil
	}
	return m.fullListResponse(request.RangeCount == 1)
}

// fullListResponse returns the complete list. If maxFullSyncs lists are being sent already,
// it returns a delay after which to retry, unless the requester is an older build, which
// does not support that.
func (m *Memberlist) fullListResponse(supportsRetry bool) (any, error) {
	if m.pushPull.fullSyncs.Add(1) > maxFullSyncs && supportsRetry {
		m.pushPull.fullSyncs.Add(-1)
		return &rpc.MembershipSync{RetryAfterMillis: minJoinRetryDelay.Milliseconds()}, nil
	}
	release := func() { m.pushPull.fullSyncs.Add(-1) }
	raw, err := m.encodedMembers()
	if err != nil {
		release()
		return nil, err
	}
	return &rpc.EncodedResponse{Body: raw, Release: release}, nil
}

// encodedMembers returns the complete list as an encoded MembershipSync, which is cached
// until the view changes.
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

// supersedingMembers returns the local members that supersede the remote ones. Unlike in
// supersedes, a member with another member ID is always included: the receiver applies
// supersedes itself.
func supersedingMembers(local, remote []rpc.Member) (superseding []rpc.Member) {
	known := make(map[ids.NodeName]rpc.Member, len(remote))
	for _, member := range remote {
		known[member.Name] = member
	}
	for _, member := range local {
		other, isKnown := known[member.Name]
		if isKnown && other.ID != member.ID || supersedes(member, other, isKnown) {
			superseding = append(superseding, member)
		}
	}
	return superseding
}
