package node

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/config"
	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/eventlog"
)

// In a soak of 185 processes beside 28 busy loops and the CI script a proxy logged nothing for
// the last 1.1 s of its stop, and ended 0.74 s after its grace with one request unanswered
// (event 104), which a server had executed. What had to answer it and what closed its connection
// were due at one moment.
func TestUntilAnswered_CountsFromWhenRequestsWereGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := environment.New(t.Context(), &config.Settings{}, eventlog.New(io.Discard, "info", "n"), environment.Host{})
		givenUp := make(chan struct{})
		ctx, cancel := untilAnswered(env, givenUp)
		defer cancel()
		time.Sleep(time.Hour) // however long the process is held up
		if ctx.Err() != nil {
			t.Error("connections are closed before their requests are given up")
		}
		close(givenUp)
		time.Sleep(answerTime - time.Millisecond)
		if ctx.Err() != nil {
			t.Error("connections are closed while answers go out")
		}
		time.Sleep(2 * time.Millisecond)
		if ctx.Err() == nil {
			t.Error("connections are kept without end")
		}
		env.Shutdown()
	})
}
