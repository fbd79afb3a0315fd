// A pause of nothing: a timer that is due at once is run by whoever selects on it, and in
// a bubble of virtual time under the race detector that ends the whole process (a check of
// the detector fails, or it reads where nothing is). So no timer is made for it.
package environment

import (
	"io"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/sumactrestle/sumactrestle/internal/config"
	"github.com/sumactrestle/sumactrestle/internal/eventlog"
)

func TestAPauseOfNothingNeedsNoTimer(t *testing.T) {
	for range 20 {
		synctest.Test(t, func(t *testing.T) {
			r := New(t.Context(), &config.Props{}, eventlog.New(io.Discard, "info", "n"), Host{})
			var all sync.WaitGroup
			for range 50 {
				all.Go(func() {
					for range 200 {
						r.Sleep(0)
					}
				})
			}
			all.Wait()
			r.Shutdown()
		})
	}
}
