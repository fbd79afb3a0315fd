package distribution

import (
	"encoding/json"
	"fmt"
	"reflect"
	"testing"

	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

func groupsOf(routes int) map[string]rpc.Group {
	list := []rpc.Route{}
	for i := range routes {
		list = append(list, rpc.Route{Name: fmt.Sprintf("route-%d", i), Path: fmt.Sprintf("/place/%d", i), Services: []rpc.WeightedService{{Service: "rates", Weight: 100}}, DeadlineMillis: 4000})
	}
	data, _ := json.Marshal(list)
	return map[string]rpc.Group{"routes/1": {Digest: fmt.Sprint("d", routes), Index: 7, Data: data}}
}

func TestCompress_LargeGroupsAreDeflatedAndComeBackComplete(t *testing.T) {
	c, groups := newCompressor(), groupsOf(400)
	encoded, _ := json.Marshal(groups)
	response := &rpc.FetchResponse{Groups: groups}
	c.compress(response)
	if response.Groups != nil || len(response.Packed) > len(encoded)/5 {
		t.Fatalf("%d bytes were packed into %d", len(encoded), len(response.Packed))
	}
	got, err := inflate(response.Packed, 1<<20)
	if err != nil || !reflect.DeepEqual(got, groups) {
		t.Fatal("what was unpacked differs", err)
	}
	again := &rpc.FetchResponse{Groups: groups}
	if c.compress(again); c.kept.len() != 1 || &again.Packed[0] != &response.Packed[0] {
		t.Error("the same groups were packed twice")
	}
	newer := groupsOf(400)
	group := newer["routes/1"]
	group.Index++
	newer["routes/1"] = group
	retryAfter := &rpc.FetchResponse{Groups: newer}
	c.compress(retryAfter)
	if got, err := inflate(retryAfter.Packed, 1<<20); err != nil || got["routes/1"].Index != group.Index {
		t.Error("the same text under another version came with the old one", err)
	}
	if _, err := inflate(response.Packed, 1000); err == nil {
		t.Error("a pack above the longest message was unpacked")
	}
	if _, err := inflate(response.Packed[:len(response.Packed)/2], 1<<20); err == nil {
		t.Error("half a pack was unpacked")
	}
}

func TestCompress_SmallGroupsGoAsTheyAre(t *testing.T) {
	c, response := newCompressor(), &rpc.FetchResponse{Groups: groupsOf(3)}
	if c.compress(response); response.Packed != nil || len(response.Groups) != 1 {
		t.Error("a few routes were packed")
	}
}
