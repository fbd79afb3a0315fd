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

const testHolder = "n id-2 request" // holder of the records that the tests acquire

// fakeLeader responds to requests to the replicated state, and passes them to the test.
type fakeLeader struct {
	respond  func() (*rpc.CoordinationResponse, error)
	requests chan *rpc.CoordinationRequest
}

func (l *fakeLeader) coordinate(_ context.Context, request *rpc.CoordinationRequest) (*rpc.CoordinationResponse, error) {
	l.requests <- request
	return l.respond()
}

// withRecords runs a test in virtual time, with records whose leader responds with respond.
func withRecords(t *testing.T, respond func() (*rpc.CoordinationResponse, error), run func(t *testing.T, records *Records, leader *fakeLeader)) {
	synctest.Test(t, func(t *testing.T) {
		settings, err := config.Load("", map[string]string{"name": "n", "zone": "a", "peer.address": "10.0.0.1:1", "api.address": "10.0.0.1:2", "proxy.address": "10.0.0.1:3"})
		if err != nil {
			t.Fatal(err)
		}
		env := environment.New(t.Context(), settings, eventlog.New(t.Output(), "error", "n"), environment.Host{})
		defer env.Shutdown()
		members := membership.New(env, rpc.New(env), rpc.Member{Name: "n", ID: "id-2"})
		leader := &fakeLeader{respond: respond, requests: make(chan *rpc.CoordinationRequest, 1000)}
		run(t, NewRecords(RecordsConfig{Environment: env, Membership: members, Coordinate: leader.coordinate}), leader)
	})
}

func succeed() (*rpc.CoordinationResponse, error) { return &rpc.CoordinationResponse{}, nil }

func TestRecords_Acquire(t *testing.T) {
	heldBy := func(holder, value string) func() (*rpc.CoordinationResponse, error) {
		return func() (*rpc.CoordinationResponse, error) {
			return &rpc.CoordinationResponse{Code: 1, Holder: holder, Value: json.RawMessage(value)}, nil
		}
	}
	for name, test := range map[string]struct {
		respond func() (*rpc.CoordinationResponse, error)
		want    int // error code; zero for none
	}{
		"free":                                        {succeed, 0},
		"held by a request that ran":                  {heldBy("m gone r", `"ran"`), errcode.DuplicateRan.Number},
		"held by a lost request":                      {heldBy("m gone r", `"unknown"`), errcode.DuplicateUnknown.Number},
		"held by a running request":                   {heldBy("n id-2 other", ""), errcode.DuplicateInFlight.Number},
		"held by a request whose proxy is not live":   {heldBy("m gone r", ""), errcode.DuplicateUnknown.Number},
		"held by a request of an earlier incarnation": {heldBy("n id-1 r", ""), errcode.DuplicateUnknown.Number},
		"with an invalid outcome":                     {heldBy("n id-2 other", `{"`), errcode.DuplicateUnknown.Number},
		"no response from the leader":                 {func() (*rpc.CoordinationResponse, error) { return nil, errors.New("no leader") }, errcode.NoLeader.Number},
	} {
		t.Run(name, func(t *testing.T) {
			withRecords(t, test.respond, func(t *testing.T, records *Records, leader *fakeLeader) {
				err := records.Acquire("orders/x", "request", time.Now().Add(time.Minute))
				code := 0
				if err != nil {
					code = errcode.From(err).Code.Number
				}
				if code != test.want {
					t.Errorf("got error %v, want code %d", err, test.want)
				}
				if got, want := <-leader.requests, (&rpc.CoordinationRequest{Operation: "claim", Name: "orders/x", Holder: testHolder}); !reflect.DeepEqual(got, want) {
					t.Errorf("got %+v, want %+v", got, want)
				}
			})
		})
	}
}

func TestRecords_FailedAcquireIsReleasedWithRetries(t *testing.T) {
	calls := 0
	withRecords(t, func() (*rpc.CoordinationResponse, error) {
		if calls++; calls < 4 {
			return nil, errors.New("no leader")
		}
		return succeed()
	}, func(t *testing.T, records *Records, leader *fakeLeader) {
		if err := records.Acquire("orders/x", "request", time.Now().Add(time.Minute)); err == nil {
			t.Error("acquired without a leader")
		}
		time.Sleep(writeTimeout)
		want := []string{"claim", "unclaim", "unclaim", "unclaim"}
		if len(leader.requests) != len(want) {
			t.Fatalf("the leader got %d requests", len(leader.requests))
		}
		for _, operation := range want {
			if got := <-leader.requests; got.Operation != operation || got.Holder != testHolder || got.Name != "orders/x" {
				t.Errorf("got %+v, want %s", got, operation)
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
			withRecords(t, succeed, func(t *testing.T, records *Records, leader *fakeLeader) {
				records.Finish("orders/x", "request", test.err)
				time.Sleep(2 * outcomeInterval)
				if len(leader.requests) != 1 {
					t.Fatalf("the leader got %d requests", len(leader.requests))
				}
				want := &rpc.CoordinationRequest{Operation: test.operation, Name: "orders/x", Holder: testHolder}
				if test.want != "" {
					want.Holder = ""
					want.Records = []rpc.CoordinationRecord{{Name: "orders/x", Holder: testHolder, Value: json.RawMessage(test.want)}}
				}
				if got := <-leader.requests; !reflect.DeepEqual(got, want) {
					t.Errorf("got %+v, want %+v", got, want)
				}
			})
		})
	}
}

func TestRecords_OutcomesAreWrittenInOneBatch(t *testing.T) {
	withRecords(t, succeed, func(t *testing.T, records *Records, leader *fakeLeader) {
		for range 10 {
			records.Finish("orders/x", "request", nil)
		}
		time.Sleep(2 * outcomeInterval)
		if len(leader.requests) != 1 {
			t.Fatalf("the leader got %d requests", len(leader.requests))
		}
		if got := <-leader.requests; len(got.Records) != 10 {
			t.Errorf("the request has %d records, want 10", len(got.Records))
		}
	})
}
