package rpc

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
)

func TestEncodeFrame_MatchesJSONMarshal(t *testing.T) {
	large, _ := json.Marshal(strings.Repeat("a<b", maxInlineBodyBytes))
	for _, frame := range []*Frame{
		{Version: Version, ID: 1, Code: 4004, Note: "gone <&>", Paths: []string{"a"}},
		{Version: Version, ID: 2, Kind: "kin.sync", Deadline: 9, Body: json.RawMessage(`{"digest":7}`)},
		{ID: 0, Body: large},
	} {
		want, err := json.Marshal(frame)
		if err != nil {
			t.Fatal(err)
		}
		got, err := encodeFrame(frame)
		if err != nil {
			t.Fatal(err)
		}
		var line bytes.Buffer
		if err := got.writeTo(&line); err != nil || line.String() != string(want)+"\n" || got.size() != line.Len() {
			t.Errorf("%v: got %.200s, want %.200s", err, line.String(), want)
		}
		if len(frame.Body) > maxInlineBodyBytes && &got[1][0] != &frame.Body[0] {
			t.Error("a large body was copied")
		}
	}
}
