// Platform mode: a fleet configured as on the users' platform. Disconnected proxies keep using
// their last epoch, a new leader keeps the epoch's targets until it has received their heartbeats,
// heartbeats are infrequent, and targets know no epochs. The network used here adds to each
// request the epoch that the proxy acts on. The history records which proxies are connected,
// because the time limits apply only to those.

package simulator

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/node"
	"github.com/sumactrestle/sumactrestle/internal/standin"
)

const (
	platformHeartbeatPeriod  = 1500 * time.Millisecond
	platformHeartbeatTimeout = 3 * platformHeartbeatPeriod
	connectivityWindow       = 3 * time.Second // see recordConnectivity
	connectivityInterval     = 10 * time.Millisecond
)

// platformShape returns a shape in platform mode. The shape's own settings take precedence.
func platformShape(s Shape) Shape {
	s.PlatformMode = true
	s.HeartbeatPeriod, s.FailureTimeout = platformHeartbeatPeriod, platformHeartbeatTimeout
	settings := map[string]string{
		"distribution.offline_grace": "24h", "distribution.renewal_interval": "1s", "controlplane.keep_targets_on_takeover": "true", "controlplane.accept_unknown_services": "true",
		"controlplane.heartbeat_period": platformHeartbeatPeriod.String(), "controlplane.heartbeat_timeout": platformHeartbeatTimeout.String(), "controlplane.takeover_delay": (2*platformHeartbeatPeriod + 500*time.Millisecond).String(),
		"proxy.seal_mode": "opaque", "proxy.request_id_source": "caller", "proxy.connect_timeout": "250ms", "proxy.drain_delay": "2s", "proxy.retry_after": "100ms",
	}
	for key, value := range s.Settings {
		settings[key] = value
	}
	s.Settings = settings
	return s
}

// newClient returns a stand-in client on a client host, in platform mode if the fleet is.
func (f *Fleet) newClient(hostIndex int) *standin.Client {
	client := standin.NewClient(f.Network.HostAt(f.clientHost(hostIndex)), f.History)
	client.Opaque = f.Shape.PlatformMode
	return client
}

// configureTarget applies the fleet's shape to a target that has not started.
func (f *Fleet) configureTarget(s *standin.Server) *standin.Server {
	s.Opaque = f.Shape.PlatformMode
	s.HeartbeatPeriod, s.FailureTimeout = f.Shape.HeartbeatPeriod, f.Shape.FailureTimeout
	return s
}

// misbehaviors returns the kinds of misbehavior of targets.
func (f *Fleet) misbehaviors() []string {
	misbehaviors := []string{standin.CloseUnanswered, standin.Garbage, standin.TruncatedBody, standin.Unsealed, standin.SwappedResponse, standin.Slow, standin.UnframedResponse, standin.DuplicateResponse, standin.TruncatedHeader}
	if f.Shape.PlatformMode {
		misbehaviors = append(misbehaviors, standin.SurplusResponse, standin.ContradictoryNotRun, standin.Overloaded, standin.RejectedEarly)
	}
	return misbehaviors
}

// hostNetwork returns the machine's environment.Host. In platform mode, connections of a proxy to
// targets report the epoch that the proxy acts on.
func (m *Machine) hostNetwork(node *atomic.Pointer[node.Node]) environment.Host {
	n := m.fleet.Network.HostAt(m.IP)
	if !m.fleet.Shape.PlatformMode || !m.IsProxy {
		return n
	}
	dial := n.Dial
	n.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		c, err := dial(ctx, address)
		if err != nil || !strings.HasSuffix(address, ":8000") {
			return c, err
		}
		return &epochReportingConn{conn: c.(*conn), proxyAddress: m.ProxyAddress(), node: node}, nil
	}
	return n
}

// epochReportingConn is a connection from a proxy to a target. It adds headers with the proxy's
// epoch and address to each request.
type epochReportingConn struct {
	*conn
	proxyAddress string
	node         *atomic.Pointer[node.Node]
}

func (c *epochReportingConn) Write(p []byte) (int, error) {
	requestLine, remainder, ok := bytes.Cut(p, []byte("\r\n"))
	if !ok || !bytes.HasSuffix(requestLine, []byte(" HTTP/1.1")) {
		return c.conn.Write(p)
	}
	for c.node.Load() == nil {
		time.Sleep(time.Millisecond)
	}
	header := fmt.Sprintf("\r\n%s: %d\r\n%s: %s\r\n", standin.HeaderActingEpoch, c.node.Load().Distribution.Cache.Snapshot().Epoch, standin.HeaderActingProxy, c.proxyAddress)
	n, err := c.conn.Write([]byte(string(requestLine) + header + string(remainder)))
	return max(min(n-len(header)+2, len(p)), 0), err
}
