package node

import (
	"io"
	"net"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/sumactrestle/sumactrestle/internal/config"
	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/eventlog"
)

// freeAddress returns a loopback address with a port that is currently unused.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func TestStart_LogsRenamedSettingsOnce(t *testing.T) {
	for name, c := range map[string]struct {
		extra map[string]string
		want  []any
	}{
		"former names": {map[string]string{"pact.round": "300ms", "gate.inflight": "7"}, []any{[]config.Renaming{
			{Former: "pact.round", Name: "consensus.heartbeat_period"}, {Former: "gate.inflight", Name: "proxy.max_inflight"}}}},
		"current names": {map[string]string{"proxy.max_inflight": "7"}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			flags := map[string]string{"name": "n", "peer.address": freeAddress(t), "api.address": freeAddress(t), "proxy.address": freeAddress(t), "shutdown.grace_period": "100ms"}
			for key, value := range c.extra {
				flags[key] = value
			}
			settings, err := config.Load("", flags)
			if err != nil {
				t.Fatal(err)
			}
			events := eventlog.New(io.Discard, "info", "n")
			env := environment.New(t.Context(), settings, events, environment.NewHost(settings.PeerAddress))
			n, err := Start(env)
			if err != nil {
				t.Fatal(err)
			}
			n.Stop()
			var got []any
			for _, e := range events.Recent(1000) {
				if e.Event.Number == eventlog.SettingsRenamed.Number {
					got = append(got, e.Fields[1])
				}
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}
