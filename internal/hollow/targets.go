// Hollow targets: each has a connection of its own to one core node's API, as a
// back end has, and beats on it at the interval set. The requests are written by
// hand, so that what is spent here is little beside what the core nodes spend.
package hollow

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/api"
	"github.com/sumactrestle/sumactrestle/internal/ids"
)

const (
	tookMost = 20000
	beatTime = 2 * time.Second
)

type targets struct {
	brief  *Brief
	beats  atomic.Int64
	failed atomic.Int64
	mu     sync.Mutex
	took   []int64
}

// ServiceName names a service of a hollow configuration.
func ServiceName(no int) string { return fmt.Sprintf("service%03d", no) }

// kindOf is the kind of a group: routes, targets, services and so on.
func kindOf(name string) string {
	kind, _, _ := strings.Cut(name, "/")
	return kind
}

func beatAll(ctx context.Context, brief *Brief) *targets {
	t := &targets{brief: brief}
	for i := range brief.Targets {
		go t.run(ctx, brief.First+i)
	}
	return t
}

// run beats for one target; a connection that fails is dialled anew, at the next
// core node.
func (t *targets) run(ctx context.Context, no int) {
	instance, seq, at := ids.NewID(), uint64(0), no
	var conn net.Conn
	var reader *bufio.Reader
	defer func() {
		if conn != nil {
			conn.Close()
		}
	}()
	wakeup := time.NewTimer(time.Duration(rand.Int64N(int64(t.brief.Beat))))
	defer wakeup.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-wakeup.C:
		}
		due := time.Now().Add(t.brief.Beat)
		address := t.brief.Apis[at%len(t.brief.Apis)]
		var err error
		if conn == nil {
			if conn, err = net.DialTimeout("tcp", address, beatTime); err != nil {
				conn = nil
			} else {
				reader = bufio.NewReaderSize(conn, 1<<10)
			}
		}
		if conn != nil {
			seq++
			began := time.Now()
			if err = t.beat(conn, reader, address, no, instance, seq); err != nil {
				conn.Close()
				conn = nil
			} else {
				t.note(time.Since(began))
			}
		}
		if err != nil {
			t.failed.Add(1)
			at++
		}
		wakeup.Reset(max(time.Until(due), time.Millisecond))
	}
}

func (t *targets) beat(conn net.Conn, reader *bufio.Reader, address string, no int, instance string, seq uint64) error {
	beat := api.Beat{Service: ServiceName(no % t.brief.Services), Instance: instance, Seq: seq, State: api.BeatStateServing,
		Address: fmt.Sprintf("127.%d.%d.%d:%d", 64+no/60000, no/250%240, no%250+1, t.brief.Port),
		Zone:    api.NewOptString(fmt.Sprint("zone", no%t.brief.Zones+1)), Weight: api.NewOptInt(100)}
	body, err := json.Marshal(&beat)
	if err != nil {
		return err
	}
	conn.SetDeadline(time.Now().Add(beatTime))
	if _, err := fmt.Fprintf(conn, "POST /v1/beats HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", address, len(body), body); err != nil {
		return err
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return nil
}

func (t *targets) note(took time.Duration) {
	t.beats.Add(1)
	t.mu.Lock()
	if len(t.took) < tookMost {
		t.took = append(t.took, int64(took))
	}
	t.mu.Unlock()
}

func (t *targets) read(into *Reading) {
	into.Beats, into.Failed = t.beats.Load(), t.failed.Load()
	t.mu.Lock()
	into.Took, t.took = t.took, nil
	t.mu.Unlock()
}
