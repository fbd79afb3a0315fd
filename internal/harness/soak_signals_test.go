package harness

import (
	"io"
	"os/exec"
	"testing"

	"github.com/sumactrestle/sumactrestle/internal/checker"
)

// A process that exits without a stop signal, or not cleanly after one, fails the soak. A clean planned
// stop does not.
func TestSoak_FailsOnAnUnplannedExit(t *testing.T) {
	for _, test := range []struct {
		name, script string
		check        func(*soak, *Machine)
		fails        bool
	}{
		{"cleanly", "exit 0", func(s *soak, m *Machine) { s.checkExit(m, m.process.Load(), false) }, false},
		{"with an error", "exit 1", func(s *soak, m *Machine) { s.checkExit(m, m.process.Load(), false) }, true},
		{"killed by a second signal", "kill -TERM $$", func(s *soak, m *Machine) { s.checkExit(m, m.process.Load(), false) }, true},
		{"killed by the soak", "kill -KILL $$", func(s *soak, m *Machine) { s.checkExit(m, m.process.Load(), true) }, false},
		{"killed by another process", "kill -KILL $$", func(s *soak, m *Machine) { s.checkExit(m, m.process.Load(), false) }, true},
		{"with an error, observed late", "exit 1", func(s *soak, m *Machine) { s.checkExit(m, m.process.Load(), true) }, true},
		{"without a stop signal", "exit 0", (*soak).checkUp, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := &soak{run: &run{Options: Options{Output: io.Discard}, history: checker.NewHistory(nil)}}
			p := &process{cmd: exec.Command("sh", "-c", test.script), done: make(chan struct{})}
			p.cmd.Run() // the test checks its exit status
			close(p.done)
			m := &Machine{Name: "proxy1"}
			m.process.Store(p)
			test.check(s, m)
			if hasFailed := len(s.failures) > 0; hasFailed != test.fails {
				t.Errorf("failures: %v", s.failures)
			}
		})
	}
}
