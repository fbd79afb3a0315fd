package retry

import (
	"testing"
	"testing/synctest"
	"time"
)

const window = 10 * time.Second

// countWithdrawals returns the number of extra requests that the budget allows now, up to ten
// more than wanted.
func countWithdrawals(budget *Budget, limits Limits, wanted int) (count int) {
	for range wanted + 10 {
		if budget.Withdraw("s", limits) {
			count++
		}
	}
	return count
}

func expectWithdrawals(t *testing.T, budget *Budget, limits Limits, want int) {
	t.Helper()
	if got := countWithdrawals(budget, limits, want); got != want {
		t.Errorf("%d extra requests allowed, want %d", got, want)
	}
}

func TestBudget_StartsEmpty(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expectWithdrawals(t, NewBudget(window), Limits{Percent: 20, Base: 60}, 0)
	})
}

func TestBudget_FirstRequestsPayForExtraOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget, limits := NewBudget(window), Limits{Percent: 50}
		budget.RecordRequest("s", limits, 0, false)
		expectWithdrawals(t, budget, limits, 0)
		budget.RecordRequest("s", limits, 0, true)
		expectWithdrawals(t, budget, limits, 0)
		budget.RecordRequest("s", limits, 0, false)
		expectWithdrawals(t, budget, limits, 1)
	})
}

func TestBudget_BaseIsSharedAndRefillsSteadily(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget, limits := NewBudget(window), Limits{Base: 60}
		budget.SetProxyCount(3)
		expectWithdrawals(t, budget, limits, 0)
		time.Sleep(window / 2)
		expectWithdrawals(t, budget, limits, 5)
		time.Sleep(10 * window)
		expectWithdrawals(t, budget, limits, 10)
	})
}

func TestBudget_FewerProxiesTakeEffectAfterOneWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget, limits := NewBudget(window), Limits{Base: 60}
		budget.SetProxyCount(3)
		budget.SetProxyCount(1)
		expectWithdrawals(t, budget, limits, 0)
		time.Sleep(window)
		expectWithdrawals(t, budget, limits, 10)
		time.Sleep(2 * window)
		expectWithdrawals(t, budget, limits, 30)
	})
}

func TestBudget_UnreportedLossIsPaidFirst(t *testing.T) {
	for name, test := range map[string]struct {
		complete bool
		want     int
	}{
		"all proxies reached":     {true, 30},
		"not all proxies reached": {false, 28},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				budget, limits := NewBudget(window), Limits{Base: 60}
				expectWithdrawals(t, budget, limits, 0)
				for range 2 {
					budget.RecordLoss("s")
				}
				budget.RecordReported([]uint64{1, 2}, map[string]int{"s": 2}, test.complete)
				time.Sleep(window)
				expectWithdrawals(t, budget, limits, test.want)
			})
		})
	}
}

func TestBudget_RetryBeforeReportIsCharged(t *testing.T) {
	for name, test := range map[string]struct {
		reported bool // this proxy lost the first request and reported it
		want     int
	}{
		"first request lost by another proxy": {false, 29},
		"first request lost by this proxy":    {true, 30},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				budget, limits := NewBudget(window), Limits{Base: 60}
				expectWithdrawals(t, budget, limits, 0)
				time.Sleep(window)
				budget.RecordRequest("s", limits, 7, false)
				if test.reported {
					budget.RecordReported([]uint64{7}, nil, true)
				}
				budget.RecordPeerLosses([]uint64{7})
				expectWithdrawals(t, budget, limits, test.want)
			})
		})
	}
}

func TestBudget_CoversLimitedNumberOfLosses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget, limits := NewBudget(window), Limits{Base: 8}
		for losses := range 3 {
			if !budget.CoversLosses("s", limits) {
				t.Errorf("an empty bucket does not cover %d losses", losses)
			}
			budget.RecordLoss("s")
		}
		if budget.CoversLosses("s", limits) {
			t.Error("an empty bucket covers three losses")
		}
		budget.RecordReported(nil, map[string]int{"s": 3}, true)
		if !budget.CoversLosses("s", limits) {
			t.Error("an empty bucket does not cover losses that were reported to all proxies")
		}
	})
}

func TestBudget_KeysExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget, limits := NewBudget(window), Limits{Base: 60}
		budget.RecordRequest("s", limits, 7, false)
		time.Sleep(keyLifetime*window + time.Second)
		budget.RecordRequest("s", limits, 8, false)
		if len(budget.keys) != 1 {
			t.Errorf("%d keys are stored, want 1", len(budget.keys))
		}
	})
}
