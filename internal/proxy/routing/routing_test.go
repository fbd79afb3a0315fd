package routing

import (
	"net/http/httptest"
	"testing"

	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

func TestTable_Match(t *testing.T) {
	table := New(map[string][]rpc.Route{
		"one": {
			{Name: "root", Path: "/"},
			{Name: "rates", Path: "/rates"},
			{Name: "rates of host", Path: "/rates", Host: "rates.example"},
			{Name: "folder", Path: "/folder/"},
		},
		"two": {
			{Name: "deep", Path: "/rates/deep", Methods: []string{"GET", "HEAD"}},
		},
	})
	for _, test := range []struct{ method, host, path, want string }{
		{"GET", "a.example", "/", "root"},
		{"GET", "a.example", "/other/path", "root"},
		{"GET", "a.example", "/rates", "rates"},
		{"GET", "a.example", "/rates/", "rates"},
		{"GET", "a.example", "/rates/today", "rates"},
		{"GET", "a.example", "/ratesx", "root"},
		{"GET", "rates.example", "/rates", "rates of host"},
		{"GET", "rates.example:8080", "/rates", "rates of host"},
		{"GET", "rates.example", "/rates/deep/er", "deep"},
		{"HEAD", "a.example", "/rates/deep", "deep"},
		{"POST", "a.example", "/rates/deep", "rates"},
		{"GET", "a.example", "/folder/x", "folder"},
		{"GET", "a.example", "/folder/", "folder"},
		{"GET", "a.example", "/folder", "root"},
	} {
		t.Run(test.method+" "+test.host+test.path, func(t *testing.T) {
			r := httptest.NewRequest(test.method, "http://"+test.host+test.path, nil)
			if got := table.Match(r); got == nil || got.Name != test.want {
				t.Errorf("got %+v, want %s", got, test.want)
			}
		})
	}
	if got := New(nil).Match(httptest.NewRequest("GET", "/", nil)); got != nil {
		t.Error("an empty table returned", got)
	}
}

func TestChooseService_FollowsWeights(t *testing.T) {
	route := &rpc.Route{Services: []rpc.WeightedService{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c"}}}
	counts := map[string]int{}
	for range 10_000 {
		counts[ChooseService(route)]++
	}
	if counts["a"] < 8700 || counts["b"] < 700 || counts["c"] > 0 {
		t.Error(counts)
	}
	route = &rpc.Route{Services: []rpc.WeightedService{{Service: "a"}, {Service: "b"}}}
	if got := ChooseService(route); got != "a" {
		t.Error("without weights, got", got)
	}
}
