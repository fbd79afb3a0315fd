package main

import "testing"

// The outputs are those of go test -v, without the stacks.
func TestIsFailed(t *testing.T) {
	for _, c := range []struct {
		name, out string
		isFailed  bool
	}{
		{"fails", "=== RUN   TestIt\n    a_test.go:5: no\n--- FAIL: TestIt (0.00s)\nFAIL\nFAIL\tp/a\t0.005s\n", true},
		{"fails in a part", "=== RUN   TestIt\n=== RUN   TestIt/one\n--- FAIL: TestIt (0.00s)\n    --- FAIL: TestIt/one (0.00s)\nFAIL\nFAIL\tp/a\t0.005s\n", true},
		{"panics", "=== RUN   TestIt\n--- FAIL: TestIt (0.00s)\npanic: in [recovered, repanicked]\n\ngoroutine 7 [running]:\nFAIL\tp/a\t0.011s\n", true},
		{"panics beside", "=== RUN   TestIt\npanic: beside\n\ngoroutine 18 [running]:\nFAIL\tp/a\t0.011s\n", true},
		{"panics after a part passed", "=== RUN   TestIt\n=== RUN   TestIt/one\n    --- PASS: TestIt/one (0.00s)\npanic: beside\n\nFAIL\tp/a\t0.011s\n", true},
		{"passes", "=== RUN   TestIt\n--- PASS: TestIt (0.00s)\nPASS\nok  \tp/a\t0.008s\n", false},
		{"another panics at its start", "=== RUN   TestIt\n--- PASS: TestIt (0.00s)\nPASS\nok  \tp/a\t0.008s\npanic: at the start\n\nFAIL\tp/b\t0.020s\n", false},
		{"another of a longer name fails", "=== RUN   TestItAll\n--- FAIL: TestItAll (0.00s)\nFAIL\nFAIL\tp/a\t0.005s\n", false},
		{"another of a longer name panics", "=== RUN   TestItAll\npanic: beside\n\nFAIL\tp/a\t0.005s\n", false},
		{"takes too long", "=== RUN   TestIt\npanic: test timed out after 4m0s\n\trunning tests:\n\t\tTestIt (4m0s)\n\nFAIL\tp/a\t240.0s\n", false},
		{"is not built", "p/a/a.go:3:2: undefined: x\nFAIL\tp/a [build failed]\n", false},
		{"does not run, another panics", "panic: at the start\n\nFAIL\tp/b\t0.020s\n", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := isFailed(c.out, "TestIt"); got != c.isFailed {
				t.Errorf("failed: %v, not %v", got, c.isFailed)
			}
		})
	}
}
