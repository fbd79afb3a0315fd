package harness

import (
	"io"
	"os/exec"
	"testing"

	"github.com/sumactrestle/sumactrestle/internal/checker"
)

// A process that is gone without being told, and one that ends otherwise than by a planned stop, fail
// the soak; one that ends as planned does not.
func TestSoak_FindsProcessThatEndsOtherwise(t *testing.T) {
	for _, test := range []struct {
		name, script string
		check        func(*soak, *Machine)
		fails        bool
	}{
		{"as planned", "exit 0", func(s *soak, m *Machine) { s.checkExit(m, m.process.Load(), false) }, false},
		{"with an error", "exit 1", func(s *soak, m *Machine) { s.checkExit(m, m.process.Load(), false) }, true},
		{"by a second signal", "kill -TERM $$", func(s *soak, m *Machine) { s.checkExit(m, m.process.Load(), false) }, true},
		{"killed by the soak", "kill -KILL $$", func(s *soak, m *Machine) { s.checkExit(m, m.process.Load(), true) }, false},
		{"killed by somebody else", "kill -KILL $$", func(s *soak, m *Machine) { s.checkExit(m, m.process.Load(), false) }, true},
		{"with an error, seen late", "exit 1", func(s *soak, m *Machine) { s.checkExit(m, m.process.Load(), true) }, true},
		{"by itself", "exit 0", (*soak).checkUp, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := &soak{run: &run{Options: Options{Output: io.Discard}, history: checker.NewHistory(nil)}}
			p := &process{cmd: exec.Command("sh", "-c", test.script), done: make(chan struct{})}
			p.cmd.Run() // how it ended is what is checked
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
