package simulator

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

func TestLink_DataAboveBandwidthIsQueued(t *testing.T) {
	inFleet(t, singleProxyShape(), func(t *testing.T, f *Fleet) {
		from, to := f.clientHost(4), f.clientHost(5)
		f.Network.LimitBandwidth(to, 100_000)
		listener, err := f.Network.HostAt(to).Listen(to + ":9000")
		if err != nil {
			t.Fatal(err)
		}
		conn, err := f.Network.HostAt(from).Dial(f.ctx, to+":9000")
		if err != nil {
			t.Fatal(err)
		}
		accepted, _ := listener.Accept()
		began := time.Now()
		conn.Write(make([]byte, 100_000))
		if in, out := f.Network.QueueDelay(to); in < time.Second || out != 0 {
			t.Error("inbound and outbound queue delay:", in, out)
		}
		for n, buffer := 0, make([]byte, 32<<10); n < 100_000; {
			read, err := accepted.Read(buffer)
			if err != nil {
				t.Fatal(err)
			}
			if n += read; n == maxSegmentBytes && time.Since(began) > 300*time.Millisecond {
				t.Error("the first packet arrived after", time.Since(began))
			}
		}
		if took := time.Since(began); took < time.Second || took > 1100*time.Millisecond {
			t.Error("100 kB at 100 kB/s took", took)
		}
	})
}

// A node must not close its connection while a long response is transferred over a slow link.
func TestLink_LongResponseKeepsItsConnection(t *testing.T) {
	inFleet(t, singleProxyShape(), func(t *testing.T, f *Fleet) {
		core, proxyNode := f.Cores()[0], f.Machine("proxy1")
		long := strings.Repeat("x", 300_000)
		core.Node().RPC.Handle("test.long", func(*rpc.Request) (any, error) { return long, nil })
		core.Node().RPC.Handle("test.short", func(*rpc.Request) (any, error) { return "here", nil })
		f.Network.LimitBandwidth(proxyNode.IP, 100_000)
		longResult := make(chan error, 1)
		go func() {
			ctx, cancel := context.WithTimeout(f.ctx, 10*time.Second)
			defer cancel()
			var response string
			longResult <- proxyNode.Node().RPC.Call(ctx, core.RPCAddress(), "test.long", struct{}{}, &response)
		}()
		time.Sleep(500 * time.Millisecond)
		ctx, cancel := context.WithTimeout(f.ctx, 500*time.Millisecond)
		defer cancel()
		if err := proxyNode.Node().RPC.Call(ctx, core.RPCAddress(), "test.short", struct{}{}, nil); err == nil {
			t.Fatal("the short response overtook the long one")
		}
		if err := <-longResult; err != nil {
			t.Error("the long response was lost:", err)
		}
	})
}

// Confirmations that are delayed on a slow link remain valid. The proxy must not consider its epoch
// stale because of the delay, but must do so once it is cut off.
func TestLink_ProxyBehindSlowLinkKeepsEpochConfirmed(t *testing.T) {
	shape := singleProxyShape()
	shape.Settings["distribution.offline_grace"], shape.Settings["distribution.unconfirmed_grace"] = "1h", "1700ms"
	shape.Settings["distribution.max_servers"], shape.Settings["controlplane.share_retention"] = "2", "30s"
	shape.Settings["distribution.renewal_interval"], shape.Settings["peer.silence_timeout"], shape.Settings["peer.dial_timeout"] = "300ms", "1500ms", "2s"
	inFleet(t, shape, func(t *testing.T, f *Fleet) {
		proxyNode, from := f.Machine("proxy1"), f.clientHost(4)
		f.Network.LimitBandwidth(proxyNode.IP, 100_000)
		listener, err := f.Network.HostAt(proxyNode.IP).Listen(proxyNode.IP + ":9000")
		if err != nil {
			t.Fatal(err)
		}
		conn, err := f.Network.HostAt(from).Dial(f.ctx, proxyNode.IP+":9000")
		if err != nil {
			t.Fatal(err)
		}
		accepted, _ := listener.Accept()
		go func() {
			for buffer := make([]byte, 32<<10); ; {
				if _, err := accepted.Read(buffer); err != nil {
					return
				}
			}
		}()
		node := proxyNode.Node()
		for range 200 {
			if in, _ := f.Network.QueueDelay(proxyNode.IP); in < 600*time.Millisecond {
				conn.Write(make([]byte, 10_000))
			}
			time.Sleep(50 * time.Millisecond)
			if age := node.Env.Since(node.Distribution.LatestConfirmation().ConfigAsOf); age > 1700*time.Millisecond {
				in, out := f.Network.QueueDelay(proxyNode.IP)
				t.Fatal("the latest confirmation has age", age, "with inbound and outbound queue delays of", in, out)
			}
		}
		conn.Close()
		f.isolate([]*Machine{proxyNode})
		time.Sleep(1800 * time.Millisecond)
		if node.Distribution.IsFresh(node.Distribution.Cache.Snapshot(), "rates") {
			t.Error("a disconnected proxy considers its snapshot fresh for longer than distribution.unconfirmed_grace")
		}
	})
}
