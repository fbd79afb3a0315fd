package harness

import (
	"testing"
	"time"
)

func TestParseProcessorTime(t *testing.T) {
	for _, test := range []struct {
		name, stat string
		want       time.Duration
		valid      bool
	}{
		{"user and system time", "7 (sumac) S 1 7 7 0 -1 4194304 10 0 0 0 25 5 0 0 20 0", 300 * time.Millisecond, true},
		{"a name with spaces and parentheses", "7 (a (b) c) S 1 7 7 0 -1 4194304 10 0 0 0 1 2 0 0 20 0", 30 * time.Millisecond, true},
		{"too few fields", "7 (sumac) S 1 7 7", 0, false},
		{"not a number", "7 (sumac) S 1 7 7 0 -1 4194304 10 0 0 0 x 5 0 0 20 0", 0, false},
		{"empty", "", 0, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			got, err := parseProcessorTime(test.stat)
			if (err == nil) != test.valid || got != test.want {
				t.Errorf("%v, %v; want %v, valid %v", got, err, test.want, test.valid)
			}
		})
	}
}
