package coordination

import (
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

func TestEventLog_EventsAreKeptForTheRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := NewStore()
		put := func(index ids.Index) {
			apply(store, index, rpc.CoordinationRequest{Operation: "put", Name: "a/x", Value: json.RawMessage("1")})
		}
		put(1)
		time.Sleep(40 * time.Second)
		put(2)
		if list, next, ok := store.EventsSince("a/", 0, 10); !ok || len(list) != 2 || next != 2 {
			t.Fatal(list, next, ok)
		}
		time.Sleep(30 * time.Second)
		put(3)
		if _, _, ok := store.EventsSince("a/", 0, 10); ok {
			t.Fatal("a watch from before the kept events was not told")
		}
		if list, _, ok := store.EventsSince("a/", 1, 10); !ok || len(list) != 2 {
			t.Fatal(list, ok)
		}
	})
}
