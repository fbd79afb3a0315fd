package main

import "testing"

// The outputs are those of go test -v, without stack traces.
func TestHasTestFailed(t *testing.T) {
	for _, c := range []struct {
		name, output string
		want         bool
	}{
		{"fails", "=== RUN   TestIt\n    a_test.go:5: no\n--- FAIL: TestIt (0.00s)\nFAIL\nFAIL\tp/a\t0.005s\n", true},
		{"fails in a subtest", "=== RUN   TestIt\n=== RUN   TestIt/one\n--- FAIL: TestIt (0.00s)\n    --- FAIL: TestIt/one (0.00s)\nFAIL\nFAIL\tp/a\t0.005s\n", true},
		{"panics", "=== RUN   TestIt\n--- FAIL: TestIt (0.00s)\npanic: in [recovered, repanicked]\n\ngoroutine 7 [running]:\nFAIL\tp/a\t0.011s\n", true},
		{"panics in another goroutine", "=== RUN   TestIt\npanic: in a goroutine\n\ngoroutine 18 [running]:\nFAIL\tp/a\t0.011s\n", true},
		{"panics after a subtest passed", "=== RUN   TestIt\n=== RUN   TestIt/one\n    --- PASS: TestIt/one (0.00s)\npanic: in a goroutine\n\nFAIL\tp/a\t0.011s\n", true},
		{"passes", "=== RUN   TestIt\n--- PASS: TestIt (0.00s)\nPASS\nok  \tp/a\t0.008s\n", false},
		{"another package panics at its start", "=== RUN   TestIt\n--- PASS: TestIt (0.00s)\nPASS\nok  \tp/a\t0.008s\npanic: at the start\n\nFAIL\tp/b\t0.020s\n", false},
		{"test with a longer name fails", "=== RUN   TestItAll\n--- FAIL: TestItAll (0.00s)\nFAIL\nFAIL\tp/a\t0.005s\n", false},
		{"test with a longer name panics", "=== RUN   TestItAll\npanic: in a goroutine\n\nFAIL\tp/a\t0.005s\n", false},
		{"times out", "=== RUN   TestIt\npanic: test timed out after 4m0s\n\trunning tests:\n\t\tTestIt (4m0s)\n\nFAIL\tp/a\t240.0s\n", false},
		{"does not compile", "p/a/a.go:3:2: undefined: x\nFAIL\tp/a [build failed]\n", false},
		{"does not run, another package panics", "panic: at the start\n\nFAIL\tp/b\t0.020s\n", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := hasTestFailed(c.output, "TestIt"); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}
