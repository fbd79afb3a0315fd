package coordination

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

func TestValidate_ReportsEachInvalidField(t *testing.T) {
	for name, test := range map[string]struct {
		request rpc.CoordinationRequest
		faults  []string // nil for a valid request
	}{
		"get":                       {rpc.CoordinationRequest{Operation: "get", Name: "k"}, nil},
		"shortest lease":            {rpc.CoordinationRequest{Operation: "acquire", Name: "l", Holder: "a", TTL: 10}, nil},
		"longest lease":             {rpc.CoordinationRequest{Operation: "acquire", Name: "l", Holder: "a", TTL: 3600_000}, nil},
		"renewal without a TTL":     {rpc.CoordinationRequest{Operation: "renew", Name: "l", Holder: "a", FencingToken: 1}, nil},
		"longest name":              {rpc.CoordinationRequest{Operation: "put", Name: strings.Repeat("n", 512)}, nil},
		"no name":                   {rpc.CoordinationRequest{Operation: "put"}, []string{"name: is missing or longer than 512 bytes"}},
		"long name":                 {rpc.CoordinationRequest{Operation: "put", Name: strings.Repeat("n", 513)}, []string{"name: is missing or longer than 512 bytes"}},
		"large value":               {rpc.CoordinationRequest{Operation: "put", Name: "k", Value: json.RawMessage(strings.Repeat("1", 64<<10+1))}, []string{"value: is larger than 64 KiB"}},
		"unknown operation":         {rpc.CoordinationRequest{Operation: "steal", Name: "l"}, []string{"op: steal is not known"}},
		"internal operation expire": {rpc.CoordinationRequest{Operation: "expire", Name: "l"}, []string{"op: expire is not known"}},
		"internal operation extend": {rpc.CoordinationRequest{Operation: "stretch", Name: "l"}, []string{"op: stretch is not known"}},
		"internal operation batch":  {rpc.CoordinationRequest{Operation: "claims", Name: "l"}, []string{"op: claims is not known"}},
		"internal operation sweep":  {rpc.CoordinationRequest{Operation: "sweep", Name: "l"}, []string{"op: sweep is not known"}},
		"set of a space":            {rpc.CoordinationRequest{Operation: "set", Name: "s/"}, []string{"name: is not of the form space/rest", "value: is missing"}},
		"follow of a key":           {rpc.CoordinationRequest{Operation: "follow", Name: "s/a"}, []string{"name: is not of the form space/"}},
		"acquire without a holder":  {rpc.CoordinationRequest{Operation: "acquire", Name: "l"}, []string{"holder: is missing", "ttl: is outside 10 ms to 1 h"}},
		"release without its token": {rpc.CoordinationRequest{Operation: "release", Name: "l", Holder: "a"}, []string{"holder, fence: are missing"}},
		"renewal with a short TTL":  {rpc.CoordinationRequest{Operation: "renew", Name: "l", Holder: "a", FencingToken: 1, TTL: 9}, []string{"ttl: is outside 10 ms to 1 h"}},
	} {
		t.Run(name, func(t *testing.T) {
			err := validate(&test.request)
			if test.faults == nil {
				if err != nil {
					t.Fatal(err)
				}
				return
			}
			if !errors.Is(err, errcode.InvalidCall) {
				t.Fatal(err)
			}
			if got := errcode.From(err).Paths; strings.Join(got, "; ") != strings.Join(test.faults, "; ") {
				t.Fatalf("got %q, want %q", got, test.faults)
			}
		})
	}
}

// Every operation that a client may request is served by the leader or applied by the store.
func TestOperations_EachHasHandlerOrTransition(t *testing.T) {
	for name, operation := range operations {
		if operation.read == nil && operation.write == nil && transitions[name] == nil {
			t.Errorf("%s would be proposed, but has no transition", name)
		}
	}
}
