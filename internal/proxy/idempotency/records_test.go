package idempotency

import (
	"context"
	"encoding/json"
	"errors"
	"reflect"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/config"
	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/eventlog"
	"github.com/sumactrestle/sumactrestle/internal/membership"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

const holder = "n life request" // of the record of a test's request

// leader answers the requests for the replicated state.
type leader struct {
	answer   func() (*rpc.CoordinationResponse, error)
	requests chan *rpc.CoordinationRequest
}

func (l *leader) coordinate(_ context.Context, request *rpc.CoordinationRequest) (*rpc.CoordinationResponse, error) {
	l.requests <- request
	return l.answer()
}

// withRecords runs a test in virtual time with records whose leader answers so.
func withRecords(t *testing.T, answer func() (*rpc.CoordinationResponse, error), run func(t *testing.T, records *Records, leader *leader)) {
	synctest.Test(t, func(t *testing.T) {
		settings, err := config.Load("", map[string]string{"name": "n", "zone": "a", "peer.address": "10.0.0.1:1", "api.address": "10.0.0.1:2", "proxy.address": "10.0.0.1:3"})
		if err != nil {
			t.Fatal(err)
		}
		env := environment.New(t.Context(), settings, eventlog.New(t.Output(), "error", "n"), environment.Host{})
		defer env.Shutdown()
		members := membership.New(env, rpc.New(env), rpc.Member{Name: "n", ID: "life"})
		leader := &leader{answer: answer, requests: make(chan *rpc.CoordinationRequest, 1000)}
		run(t, NewRecords(RecordsConfig{Environment: env, Membership: members, Coordinate: leader.coordinate}), leader)
	})
}

func succeed() (*rpc.CoordinationResponse, error) { return &rpc.CoordinationResponse{}, nil }

func TestRecords_Acquire(t *testing.T) {
	held := func(by, value string) func() (*rpc.CoordinationResponse, error) {
		return func() (*rpc.CoordinationResponse, error) {
			return &rpc.CoordinationResponse{Code: 1, Holder: by, Value: json.RawMessage(value)}, nil
		}
	}
	for name, test := range map[string]struct {
		answer func() (*rpc.CoordinationResponse, error)
		want   int // the error's code; zero is none
	}{
		"free":                          {succeed, 0},
		"of a request that ran":         {held("m gone r", `"ran"`), errcode.OrderRan.Number},
		"of a lost request":             {held("m gone r", `"unknown"`), errcode.OrderUnknown.Number},
		"of one that runs":              {held("n life other", ""), errcode.OrderInFlight.Number},
		"of one whose proxy has gone":   {held("m gone r", ""), errcode.OrderUnknown.Number},
		"of an earlier life's":          {held("n before r", ""), errcode.OrderUnknown.Number},
		"that can't be read":            {held("n life other", `{"`), errcode.OrderUnknown.Number},
		"whose leader does not respond": {func() (*rpc.CoordinationResponse, error) { return nil, errors.New("no leader") }, errcode.NoLeader.Number},
	} {
		t.Run(name, func(t *testing.T) {
			withRecords(t, test.answer, func(t *testing.T, records *Records, leader *leader) {
				err := records.Acquire("orders/x", "request", time.Now().Add(time.Minute))
				code := 0
				if err != nil {
					code = errcode.From(err).Code.Number
				}
				if code != test.want {
					t.Errorf("%v, not code %d", err, test.want)
				}
				if got, want := <-leader.requests, (&rpc.CoordinationRequest{Operation: "claim", Name: "orders/x", Holder: holder}); !reflect.DeepEqual(got, want) {
					t.Errorf("%+v, not %+v", got, want)
				}
			})
		})
	}
}

func TestRecords_AcquireThatFailsIsReleasedUntilDone(t *testing.T) {
	calls := 0
	withRecords(t, func() (*rpc.CoordinationResponse, error) {
		if calls++; calls < 4 {
			return nil, errors.New("no leader")
		}
		return succeed()
	}, func(t *testing.T, records *Records, leader *leader) {
		if err := records.Acquire("orders/x", "request", time.Now().Add(time.Minute)); err == nil {
			t.Error("acquired")
		}
		time.Sleep(writeTimeout)
		want := []string{"claim", "unclaim", "unclaim", "unclaim"}
		if len(leader.requests) != len(want) {
			t.Fatalf("%d requests", len(leader.requests))
		}
		for _, operation := range want {
			if got := <-leader.requests; got.Operation != operation || got.Holder != holder || got.Name != "orders/x" {
				t.Errorf("%+v, not %s", got, operation)
			}
		}
	})
}

func TestRecords_Finish(t *testing.T) {
	for name, test := range map[string]struct {
		err             error
		operation, want string
	}{
		"a response":      {nil, "settle", `"ran"`},
		"a lost response": {errcode.New(errcode.ResponseLost, ""), "settle", `"unknown"`},
		"nothing written": {errcode.New(errcode.NotWritten, ""), "unclaim", ""},
	} {
		t.Run(name, func(t *testing.T) {
			withRecords(t, succeed, func(t *testing.T, records *Records, leader *leader) {
				records.Finish("orders/x", "request", test.err)
				time.Sleep(2 * outcomeInterval)
				if len(leader.requests) != 1 {
					t.Fatalf("%d requests", len(leader.requests))
				}
				want := &rpc.CoordinationRequest{Operation: test.operation, Name: "orders/x", Holder: holder}
				if test.want != "" {
					want.Holder = ""
					want.Records = []rpc.CoordinationRecord{{Name: "orders/x", Holder: holder, Value: json.RawMessage(test.want)}}
				}
				if got := <-leader.requests; !reflect.DeepEqual(got, want) {
					t.Errorf("%+v, not %+v", got, want)
				}
			})
		})
	}
}

func TestRecords_OutcomesAreWrittenTogether(t *testing.T) {
	withRecords(t, succeed, func(t *testing.T, records *Records, leader *leader) {
		for range 10 {
			records.Finish("orders/x", "request", nil)
		}
		time.Sleep(2 * outcomeInterval)
		if len(leader.requests) != 1 {
			t.Fatalf("%d requests", len(leader.requests))
		}
		if got := <-leader.requests; len(got.Records) != 10 {
			t.Errorf("%d records", len(got.Records))
		}
	})
}
