package membership

import (
	"time"

	"github.com/sumactrestle/sumactrestle/internal/environment"
)

// protocolConfig is what the operator sets of the protocol, under SWIM's terms.
type protocolConfig struct {
	// zone is this node's failure domain.
	zone string
	// bindAddress receives the datagrams; advertiseAddress is how others reach it.
	bindAddress, advertiseAddress string

	// probeInterval is SWIM's protocol period: one member is probed in each.
	probeInterval time.Duration
	// probeTimeout is how long a direct ping waits for its acknowledgement before others
	// are asked to ping the member.
	probeTimeout time.Duration
	// suspicionTimeout is how long a suspect may refute in a fleet of up to eight; the
	// function of that name gives it for larger ones.
	suspicionTimeout time.Duration
}

func protocolConfigOf(env *environment.Environment) protocolConfig {
	settings := env.Config
	return protocolConfig{
		zone:             settings.Zone,
		bindAddress:      settings.PeerAddress,
		advertiseAddress: settings.PeerAdvertise,
		probeInterval:    settings.MembershipProbeInterval,
		probeTimeout:     settings.MembershipProbeTimeout,
		suspicionTimeout: settings.MembershipSuspicionTimeout,
	}
}

// Probing and dissemination.
const (
	// indirectProbes is SWIM's k: how many others are asked to ping a member that did not
	// answer. An indirect ping has indirectTimeoutFactor times the probe timeout, since its
	// way is twice as long.
	indirectProbes        = 2
	indirectTimeoutFactor = 2
	// minReliableTimeout bounds from below how long the ping over a connection waits.
	minReliableTimeout = 500 * time.Millisecond
	// fullProbeLimit is the size of a fleet from which on members of other zones are probed
	// in one round of farProbeRounds only: members of their own zone probe them too.
	fullProbeLimit = 24
	farProbeRounds = 4
	// maxUpdatesPerPacket is how many members one datagram tells of.
	maxUpdatesPerPacket = 6
	// baseTransmits is how often an update is sent on in a fleet of one; the logarithm of
	// the fleet's size comes on top.
	baseTransmits = 6
	// minTransmits is how often an update is sent on at the least, also when others keep
	// telling this node of it.
	minTransmits = 4
	// leaveFanout is how many members a node that leaves notifies itself.
	leaveFanout = 4
	// A node's own record goes with its first initialAnnouncements acknowledgements under
	// an incarnation, and with one of announceEvery after them.
	initialAnnouncements = 32
	announceEvery        = 16

	maxPacketBytes   = 64 << 10
	receiveErrorWait = 10 * time.Millisecond
)

// Push/pull.
const (
	pushPullInterval = 10 * time.Second
	// fastPushPullInterval holds while fewer than three members are known, and for
	// recoveryPeriod after a member that was held for dead came back: whoever was on the
	// other side of a partition must learn who was on this one.
	fastPushPullInterval = time.Second
	recoveryPeriod       = 10 * time.Second
	pushPullTimeout      = time.Second
	// A node that no seed has answered yet asks again after minJoinRetry. Seeds that turn
	// it away because of their load double that, up to maxJoinRetry.
	minJoinRetry = 100 * time.Millisecond
	maxJoinRetry = 2 * time.Second

	// Lists are compared by ranges of about membersPerRange members, at most maxRanges.
	membersPerRange = 8
	maxRanges       = 64
	// maxFullSyncs bounds the complete lists under way from this node at one time.
	maxFullSyncs = 4
)

// Reconnecting.
const (
	// reconnectTimeout is how long after its death a member is looked for.
	reconnectTimeout  = 10 * time.Minute
	reconnectInterval = 300 * time.Millisecond
	// reconnectors is how many nodes look for one dead member.
	reconnectors        = 3
	minReconnectBackoff = time.Second
	maxReconnectBackoff = 5 * time.Second
	// In one interval at most so many dead core members are asked, and other members.
	maxCoreReconnects  = 3
	maxOtherReconnects = 1
)
