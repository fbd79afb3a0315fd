package membership

import (
	"time"

	"github.com/sumactrestle/sumactrestle/internal/environment"
)

// protocolConfig holds the configurable parameters of the protocol, named as in SWIM.
type protocolConfig struct {
	// zone is this node's failure domain.
	zone string
	// bindAddress is the local address of the datagram socket; advertiseAddress is the
	// address under which other nodes reach it.
	bindAddress, advertiseAddress string

	// probeInterval is SWIM's protocol period: one member is probed per interval.
	probeInterval time.Duration
	// probeTimeout is how long a direct ping waits for its acknowledgement before indirect
	// pings are sent.
	probeTimeout time.Duration
	// suspicionTimeout is the time a suspect has to refute in a fleet of up to eight
	// members. The function suspicionTimeout scales it for larger fleets.
	suspicionTimeout time.Duration
}

func newProtocolConfig(env *environment.Environment) protocolConfig {
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
	// indirectProbes is SWIM's k: the number of members that are asked to ping a member
	// that did not acknowledge a direct ping. The timeout of an indirect ping is
	// indirectTimeoutFactor times the probe timeout, since its path is twice as long.
	indirectProbes        = 2
	indirectTimeoutFactor = 2
	// minConnectionPingTimeout is the minimum timeout of a ping over a connection.
	minConnectionPingTimeout = 500 * time.Millisecond
	// In a fleet of at least largeFleetSize members, a node probes each member of another
	// zone only once in crossZoneProbeRounds rounds, since the members of that zone probe it
	// in every round, and only reconnectorsPerMember nodes try to reconnect to a dead core
	// member.
	largeFleetSize       = 24
	crossZoneProbeRounds = 4
	maxUpdatesPerPacket  = 6
	// An update is sent baseTransmits times plus the base-2 logarithm of the fleet size.
	baseTransmits = 6
	// minTransmits is the minimum number of times an update is sent, no matter how many
	// duplicates of it this node receives.
	minTransmits = 4
	// leaveFanout is the number of members that a leaving node notifies directly.
	leaveFanout = 4
	// A node attaches its own record to the first initialAnnouncements acknowledgements
	// that it sends under an incarnation, then to one in announceEvery.
	initialAnnouncements = 32
	announceEvery        = 16

	maxPacketBytes    = 64 << 10
	receiveRetryDelay = 10 * time.Millisecond
)

// Push/pull.
const (
	pushPullInterval = 10 * time.Second
	// fastPushPullInterval applies while fewer than three members are known, and for
	// recoveryPeriod after a dead member was found alive again, so that the two sides of a
	// healed partition learn of each other's members quickly.
	fastPushPullInterval = time.Second
	recoveryPeriod       = 10 * time.Second
	pushPullTimeout      = time.Second
	// A node retries joining after minJoinRetryDelay. Each time a seed refuses because of
	// its load, the delay doubles, up to maxJoinRetryDelay.
	minJoinRetryDelay = 100 * time.Millisecond
	maxJoinRetryDelay = 2 * time.Second

	// Lists are compared in at most maxRanges ranges of about membersPerRange members.
	membersPerRange = 8
	maxRanges       = 64
	// maxFullSyncs is the maximum number of complete lists that a node sends concurrently.
	maxFullSyncs = 4
)

// Reconnecting.
const (
	// reconnectTimeout is how long nodes try to reconnect to a member after declaring it
	// dead.
	reconnectTimeout  = 10 * time.Minute
	reconnectInterval = 300 * time.Millisecond
	// reconnectorsPerMember is the number of nodes that try to reconnect to a dead member.
	reconnectorsPerMember = 3
	minReconnectBackoff   = time.Second
	maxReconnectBackoff   = 5 * time.Second
	// Maximum attempts per interval to reconnect to core members and to other members.
	maxCoreReconnects  = 3
	maxOtherReconnects = 1
)
