package coordination

import (
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

func TestEventLog_KeepsEventsForRetentionPeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := NewStore()
		put := func(index ids.Index) {
			apply(store, index, rpc.CoordinationRequest{Operation: "put", Name: "a/x", Value: json.RawMessage("1")})
		}
		put(1)
		time.Sleep(40 * time.Second)
		put(2)
		if events, next, ok := store.EventsSince("a/", 0, 10); !ok || len(events) != 2 || next != 2 {
			t.Fatal(events, next, ok)
		}
		time.Sleep(30 * time.Second)
		put(3)
		if _, _, ok := store.EventsSince("a/", 0, 10); ok {
			t.Fatal("a watch from before the retained events was reported as complete")
		}
		if events, _, ok := store.EventsSince("a/", 1, 10); !ok || len(events) != 2 {
			t.Fatal(events, ok)
		}
	})
}
