package proxy

import (
	"testing"
	"time"
)

func TestRequestPlan_ConnectTimeout(t *testing.T) {
	for _, one := range []struct{ aim, most, want time.Duration }{
		{2 * time.Second, 1500 * time.Millisecond, 1500 * time.Millisecond},
		{400 * time.Millisecond, 1500 * time.Millisecond, 400 * time.Millisecond},
		{50 * time.Millisecond, 1500 * time.Millisecond, minConnectTimeout},
		{2 * time.Second, 100 * time.Millisecond, 100 * time.Millisecond},
	} {
		if got := (&requestPlan{latencyTarget: one.aim}).connectTimeout(one.most); got != one.want {
			t.Errorf("aim %s, at most %s: %s, not %s", one.aim, one.most, got, one.want)
		}
	}
}
