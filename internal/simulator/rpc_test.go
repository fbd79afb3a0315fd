// Unreadable messages from the network are rejected, logged and counted, and the node keeps
// working.

package simulator

import (
	"bufio"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
)

func TestRPC_UnreadableMessagesAreRejected(t *testing.T) {
	shape := singleProxyShape()
	shape.Settings["peer.max_message_bytes"] = "65536"
	inFleet(t, shape, func(t *testing.T, f *Fleet) {
		m := f.Cores()[0]
		send := func(line string) string {
			conn, err := f.Network.HostAt(f.clientHost(6)).Dial(f.ctx, m.RPCAddress())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			conn.SetDeadline(time.Now().Add(time.Second))
			fmt.Fprintf(conn, "%s\n", line)
			response, _ := bufio.NewReader(conn).ReadString('\n')
			return response
		}
		before := m.Node().Env.Events.Counts()["MessageRefused"]
		for line, wantCode := range map[string]string{
			"what is this":                         "",
			`{"v":3,"id":1,"kind":"pact.nothing"}`: fmt.Sprint(errcode.UnknownKind.Number),
			`{"v":3,"id":2,"kind":"pact.promise","body":{"part":"x"}}`:  fmt.Sprint(errcode.InvalidMessage.Number),
			`{"v":3,"id":3,"kind":"pact.promise","body":{"part":99}}`:   fmt.Sprint(errcode.InvalidMessage.Number),
			`{"v":3,"id":4,"kind":"pact.append","body":{"part":-1}}`:    fmt.Sprint(errcode.InvalidMessage.Number),
			`{"v":3,"id":5,"kind":"seat.pass","body":{"part":400}}`:     fmt.Sprint(errcode.InvalidMessage.Number),
			`{"v":3,"id":6,"kind":"pact.found","body":{"step":"open"}}`: fmt.Sprint(errcode.InvalidMessage.Number),
			`{"id":7,"kind":"pact.charter"}`:                            fmt.Sprint(errcode.WrongVersion.Number),
			`{"v":99,"id":8,"kind":"pact.charter"}`:                     fmt.Sprint(errcode.WrongVersion.Number),
			strings.Repeat("x", 100000):                                 "",
		} {
			response := send(line)
			if wantCode == "" && response != "" || !strings.Contains(response, wantCode) {
				t.Errorf("response to %.60q: %q", line, response)
			}
		}
		packet, err := f.Network.HostAt(f.clientHost(6)).ListenPacket(f.clientHost(6) + ":7000")
		if err != nil {
			t.Fatal(err)
		}
		defer packet.Close()
		packet.WriteTo([]byte("what"), tcpAddr(m.RPCAddress()))
		time.Sleep(100 * time.Millisecond)
		if n := m.Node().Env.Events.Counts()["MessageRefused"] - before; n < 9 {
			t.Errorf("only %d rejected messages were counted", n)
		}
		if !f.IsUsable() {
			t.Error("the fleet no longer works")
		}
	})
}
