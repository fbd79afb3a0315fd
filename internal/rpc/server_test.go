package rpc

import (
	"context"
	"encoding/json"
	"reflect"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/config"
	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/eventlog"
)

func TestDispatch_SkipsExpiredRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settings, err := config.Load("", map[string]string{"name": "n", "zone": "a", "peer.address": "10.0.0.1:1", "api.address": "10.0.0.1:2", "proxy.address": "10.0.0.1:3"})
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		transport := New(environment.New(ctx, settings, eventlog.New(t.Output(), "error", "n"), environment.Host{}))
		handlerCalls, releaseCalls := 0, 0
		transport.Handle("slow", func(request *Request) (any, error) {
			handlerCalls++
			<-request.Done()
			return &EncodedResponse{Body: json.RawMessage(`{"large":true}`), Release: func() { releaseCalls++ }}, nil
		})
		request := &Frame{Version: Version, ID: 5, Kind: "slow", Deadline: 20_000}
		received := time.Now()
		response, release := transport.dispatch(ctx, request, received)
		if handlerCalls != 1 || response.Body != nil || response.Code != errcode.ReplyLost.Number || response.ID != 5 || release == nil {
			t.Errorf("handler calls: %d, %+v", handlerCalls, response)
		}
		release()
		if releaseCalls != 1 {
			t.Error("release did not call the handler's Release")
		}
		// The deadline has passed before the handler is called.
		response, release = transport.dispatch(ctx, request, received)
		if handlerCalls != 1 || release != nil || !reflect.DeepEqual(response, &Frame{Version: Version, ID: 5, Code: errcode.ReplyLost.Number, Note: "slow: not executed, deadline exceeded"}) {
			t.Errorf("handler calls: %d, %+v", handlerCalls, response)
		}
	})
}

func TestHandle_RejectsBodyOfWrongType(t *testing.T) {
	settings, err := config.Load("", map[string]string{"name": "n", "zone": "a", "peer.address": "10.0.0.1:1", "api.address": "10.0.0.1:2", "proxy.address": "10.0.0.1:3"})
	if err != nil {
		t.Fatal(err)
	}
	transport := New(environment.New(t.Context(), settings, eventlog.New(t.Output(), "error", "n"), environment.Host{}))
	Handle(transport, "double", func(_ context.Context, n *int) (int, error) { return 2 * *n, nil })
	for body, want := range map[string]Frame{
		`21`:      {Version: Version, ID: 1, Body: json.RawMessage(`42`)},
		`"words"`: {Version: Version, ID: 1, Code: errcode.InvalidMessage.Number},
		``:        {Version: Version, ID: 1, Code: errcode.InvalidMessage.Number},
	} {
		t.Run(body, func(t *testing.T) {
			got, _ := transport.dispatch(t.Context(), &Frame{Version: Version, ID: 1, Kind: "double", Body: json.RawMessage(body)}, time.Now())
			if (got.Note != "") != (want.Code != 0) {
				t.Errorf("note %q", got.Note)
			}
			if got.Note = ""; !reflect.DeepEqual(*got, want) {
				t.Errorf("%+v, want %+v", *got, want)
			}
		})
	}
}
