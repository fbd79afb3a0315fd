package harness

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"
)

const (
	lossTimeout     = 200 * time.Millisecond // after which a message counts as delayed or lost
	deliveryTimeout = 10 * time.Second
)

// newTestRelay returns a relay for two machines. The first, server, echoes streams and datagrams.
func newTestRelay(t *testing.T) (r *Relay, server, client *Machine) {
	t.Helper()
	port, err := freePorts()
	if err != nil {
		t.Fatal(err)
	}
	f := NewFleet(FleetConfig{Port: port, Cores: 2, Zones: 1})
	server, client = f.Machines[0], f.Machines[1]
	listener, err := net.Listen("tcp", server.relayedAddress())
	if err != nil {
		t.Fatal(err)
	}
	packets, err := net.ListenPacket("udp", server.relayedAddress())
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				io.Copy(conn, conn)
			}()
		}
	}()
	go func() {
		buffer := make([]byte, maxDatagram)
		for {
			n, from, err := packets.ReadFrom(buffer)
			if err != nil {
				return
			}
			packets.WriteTo(buffer[:n], from)
		}
	}()
	r, err = NewRelay(t.Context(), f)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		r.Close()
		listener.Close()
		packets.Close()
	})
	return r, server, client
}

// dialFrom connects from one machine's IP address to another's peer address.
func dialFrom(t *testing.T, network string, from, to *Machine) net.Conn {
	t.Helper()
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(from.IP)}}
	if network == "udp" {
		dialer.LocalAddr = &net.UDPAddr{IP: net.ParseIP(from.IP)}
	}
	conn, err := dialer.Dial(network, to.RPCAddress())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

func send(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	if _, err := conn.Write([]byte(text)); err != nil {
		t.Fatal(err)
	}
}

// receive returns the next text, or an empty string if none arrives before the timeout.
func receive(t *testing.T, conn net.Conn, timeout time.Duration) string {
	t.Helper()
	conn.SetReadDeadline(time.Now().Add(timeout))
	buffer := make([]byte, 100)
	n, err := conn.Read(buffer)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatal(err)
	}
	return string(buffer[:n])
}

func TestRelay_CutLinks(t *testing.T) {
	for _, test := range []struct {
		name, network string
		cut           func(r *Relay, server, client *Machine)
		afterHeal     string // the text that is received after Heal, of those sent during the cut
	}{
		{"a stream to the server is delayed", "tcp", func(r *Relay, server, client *Machine) { r.Cut(client, server) }, "two"},
		{"a stream from the server is delayed", "tcp", func(r *Relay, server, client *Machine) { r.Cut(server, client) }, "two"},
		{"streams of an isolated machine are delayed", "tcp", func(r *Relay, server, client *Machine) {
			r.Isolate(func(m *Machine) bool { return m == client })
		}, "two"},
		{"datagrams to the server are lost", "udp", func(r *Relay, server, client *Machine) { r.Cut(client, server) }, ""},
		{"datagrams from the server are lost", "udp", func(r *Relay, server, client *Machine) { r.Cut(server, client) }, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			r, server, client := newTestRelay(t)
			conn := dialFrom(t, test.network, client, server)
			send(t, conn, "one")
			if got := receive(t, conn, deliveryTimeout); got != "one" {
				t.Fatalf("received %q before the cut", got)
			}
			test.cut(r, server, client)
			send(t, conn, "two")
			if got := receive(t, conn, lossTimeout); got != "" {
				t.Fatalf("received %q despite the cut", got)
			}
			r.Heal()
			if test.afterHeal != "" {
				if got := receive(t, conn, deliveryTimeout); got != test.afterHeal {
					t.Fatalf("received %q after the heal, want the delayed text", got)
				}
			}
			send(t, conn, "three")
			if got := receive(t, conn, deliveryTimeout); got != "three" {
				t.Fatalf("received %q after the heal", got)
			}
		})
	}
}

func TestRelay_CloseEndsConnections(t *testing.T) {
	r, server, client := newTestRelay(t)
	conn := dialFrom(t, "tcp", client, server)
	send(t, conn, "one")
	if got := receive(t, conn, deliveryTimeout); got != "one" {
		t.Fatal(got)
	}
	r.Cut(client, server)
	send(t, conn, "delayed")
	r.Close() // must return although a stream is delayed
	conn.SetReadDeadline(time.Now().Add(deliveryTimeout))
	if _, err := conn.Read(make([]byte, 10)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the connection is still open: %v", err)
	}
}
