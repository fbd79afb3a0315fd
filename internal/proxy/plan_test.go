package proxy

import (
	"testing"
	"time"
)

func TestRequestPlan_ConnectTimeout(t *testing.T) {
	for _, test := range []struct{ latencyTarget, configured, want time.Duration }{
		{2 * time.Second, 1500 * time.Millisecond, 1500 * time.Millisecond},
		{400 * time.Millisecond, 1500 * time.Millisecond, 400 * time.Millisecond},
		{50 * time.Millisecond, 1500 * time.Millisecond, minConnectTimeout},
		{2 * time.Second, 100 * time.Millisecond, 100 * time.Millisecond},
	} {
		if got := (&requestPlan{latencyTarget: test.latencyTarget}).connectTimeout(test.configured); got != test.want {
			t.Errorf("latency target %s, configured timeout %s: got %s, want %s", test.latencyTarget, test.configured, got, test.want)
		}
	}
}
