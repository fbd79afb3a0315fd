package simulator

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

func TestLink_NarrowLinkQueuesWhatItCannotCarry(t *testing.T) {
	inFleet(t, one(), func(t *testing.T, f *Fleet) {
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
		other, _ := listener.Accept()
		began := time.Now()
		conn.Write(make([]byte, 100_000))
		if in, out := f.Network.QueueDelay(to); in < time.Second || out != 0 {
			t.Error("queues of", in, out)
		}
		for n, buffer := 0, make([]byte, 32<<10); n < 100_000; {
			k, err := other.Read(buffer)
			if err != nil {
				t.Fatal(err)
			}
			if n += k; n == maxSegmentBytes && time.Since(began) > 300*time.Millisecond {
				t.Error("the first piece came after", time.Since(began))
			}
		}
		if took := time.Since(began); took < time.Second || took > 1100*time.Millisecond {
			t.Error("100 kB at 100 kB/s took", took)
		}
	})
}

// A response that takes long on a narrow link must not make a node drop its connection.
func TestLink_LongResponseKeepsItsConnection(t *testing.T) {
	inFleet(t, one(), func(t *testing.T, f *Fleet) {
		core, proxyNode := f.Cores()[0], f.Machine("proxy1")
		long := strings.Repeat("x", 300_000)
		core.Node().RPC.Handle("test.long", func(*rpc.Request) (any, error) { return long, nil })
		core.Node().RPC.Handle("test.short", func(*rpc.Request) (any, error) { return "here", nil })
		f.Network.LimitBandwidth(proxyNode.IP, 100_000)
		got := make(chan error, 1)
		go func() {
			ctx, end := context.WithTimeout(f.ctx, 10*time.Second)
			defer end()
			var response string
			got <- proxyNode.Node().RPC.Call(ctx, core.RPCAddress(), "test.long", struct{}{}, &response)
		}()
		time.Sleep(500 * time.Millisecond)
		ctx, end := context.WithTimeout(f.ctx, 500*time.Millisecond)
		defer end()
		if err := proxyNode.Node().RPC.Call(ctx, core.RPCAddress(), "test.short", struct{}{}, nil); err == nil {
			t.Fatal("the short response overtook the long one")
		}
		if err := <-got; err != nil {
			t.Error("the long response was lost:", err)
		}
	})
}

// Confirmations that come late over a slow link are still right: a proxy must not take its
// epoch for stale because of them, though it must once it is cut off.
func TestLink_ProxyBehindASlowLinkHearsOfTheNewestEpoch(t *testing.T) {
	shape := one()
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
		other, _ := listener.Accept()
		go func() {
			for buffer := make([]byte, 32<<10); ; {
				if _, err := other.Read(buffer); err != nil {
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
				t.Fatal("the last confirmation of the newest epoch is old by", age, "while messages wait", in, out)
			}
		}
		conn.Close()
		f.isolate([]*Machine{proxyNode})
		time.Sleep(1800 * time.Millisecond)
		if node.Distribution.IsFresh(node.Distribution.Cache.Snapshot(), "rates") {
			t.Error("a proxy that was cut off goes on for longer than flow.behind")
		}
	})
}
