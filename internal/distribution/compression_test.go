package distribution

import (
	"encoding/json"
	"fmt"
	"reflect"
	"testing"

	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

func routeGroups(routeCount int) map[string]rpc.Group {
	list := []rpc.Route{}
	for i := range routeCount {
		list = append(list, rpc.Route{Name: fmt.Sprintf("route-%d", i), Path: fmt.Sprintf("/place/%d", i), Services: []rpc.WeightedService{{Service: "rates", Weight: 100}}, DeadlineMillis: 4000})
	}
	data, _ := json.Marshal(list)
	return map[string]rpc.Group{"routes/1": {Digest: fmt.Sprint("d", routeCount), Index: 7, Data: data}}
}

func TestCompress_LargeGroupsRoundTrip(t *testing.T) {
	c, groups := newCompressor(), routeGroups(400)
	encoded, _ := json.Marshal(groups)
	response := &rpc.FetchResponse{Groups: groups}
	c.compress(response)
	if response.Groups != nil || len(response.Packed) > len(encoded)/5 {
		t.Fatalf("%d bytes were compressed to %d, want no more than a fifth", len(encoded), len(response.Packed))
	}
	got, err := inflate(response.Packed, 1<<20)
	if err != nil || !reflect.DeepEqual(got, groups) {
		t.Fatal("the decompressed groups differ:", err)
	}
	repeated := &rpc.FetchResponse{Groups: groups}
	if c.compress(repeated); c.cache.len() != 1 || &repeated.Packed[0] != &response.Packed[0] {
		t.Error("the same groups were compressed twice")
	}
	reindexed := routeGroups(400)
	group := reindexed["routes/1"]
	group.Index++
	reindexed["routes/1"] = group
	reindexedResponse := &rpc.FetchResponse{Groups: reindexed}
	c.compress(reindexedResponse)
	if got, err := inflate(reindexedResponse.Packed, 1<<20); err != nil || got["routes/1"].Index != group.Index {
		t.Error("groups with a new index were served from the cache with the old index:", err)
	}
	if _, err := inflate(response.Packed, 1000); err == nil {
		t.Error("groups larger than the limit were decompressed")
	}
	if _, err := inflate(response.Packed[:len(response.Packed)/2], 1<<20); err == nil {
		t.Error("truncated data was decompressed")
	}
}

func TestCompress_SmallGroupsStayUncompressed(t *testing.T) {
	c, response := newCompressor(), &rpc.FetchResponse{Groups: routeGroups(3)}
	if c.compress(response); response.Packed != nil || len(response.Groups) != 1 {
		t.Error("groups smaller than minCompressedSize were compressed")
	}
}
