// Frames as lines, and asks whose time is over.
package rpc

import (
	"bytes"
	"context"
	"encoding/json"
	"reflect"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/config"
	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/eventlog"
)

func TestAPackedFrameIsTheFrameAsJson(t *testing.T) {
	large, _ := json.Marshal(strings.Repeat("a<b", maxJoinedBody))
	for _, frame := range []*Frame{
		{Version: Version, ID: 1, Code: 4004, Note: "gone <&>", Paths: []string{"a"}},
		{Version: Version, ID: 2, Kind: "kin.sync", Deadline: 9, Body: json.RawMessage(`{"digest":7}`)},
		{ID: 0, Body: large},
	} {
		plain, err := json.Marshal(frame)
		if err != nil {
			t.Fatal(err)
		}
		got, err := encodeFrame(frame)
		if err != nil {
			t.Fatal(err)
		}
		var line bytes.Buffer
		if err := got.write(&line); err != nil || line.String() != string(plain)+"\n" || got.size() != line.Len() {
			t.Errorf("%v: %.200s is not %.200s", err, line.String(), plain)
		}
		if len(frame.Body) > maxJoinedBody && &got[1][0] != &frame.Body[0] {
			t.Error("a large body is copied")
		}
	}
}

func TestAnAskWhoseTimeIsOverIsNotWorkedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settings, err := config.Load("", map[string]string{"name": "n", "zone": "a", "wire.address": "10.0.0.1:1", "api.address": "10.0.0.1:2", "gate.address": "10.0.0.1:3"})
		if err != nil {
			t.Fatal(err)
		}
		ctx, end := context.WithCancel(t.Context())
		defer end()
		w := New(environment.New(ctx, settings, eventlog.New(t.Output(), "error", "n"), environment.Host{}))
		begun, sent := 0, 0
		w.Handle("slow", func(c *Request) (any, error) {
			begun++
			<-c.Done()
			return &EncodedResponse{Body: json.RawMessage(`{"large":true}`), Release: func() { sent++ }}, nil
		})
		ask := &Frame{Version: Version, ID: 5, Kind: "slow", Deadline: 20_000}
		got := time.Now()
		response, leave := w.dispatch(ctx, ask, got)
		if begun != 1 || response.Body != nil || response.Code != errcode.ReplyLost.No || response.ID != 5 || leave == nil {
			t.Errorf("begun %d, %+v", begun, response)
		}
		leave()
		if sent != 1 {
			t.Error("the handler is not told that its receipt is done with")
		}
		// Read from the pipe, but not begun until its asker had given up.
		response, leave = w.dispatch(ctx, ask, got)
		if begun != 1 || leave != nil || !reflect.DeepEqual(response, &Frame{Version: Version, ID: 5, Code: errcode.ReplyLost.No, Note: "slow: not begun, its time is over"}) {
			t.Errorf("begun %d, %+v", begun, response)
		}
	})
}
