package eventlog

import (
	"bytes"
	"strings"
	"testing"
	"time"
)

// stalledWriter blocks every write until released is closed.
type stalledWriter struct {
	released chan struct{}
	written  bytes.Buffer
}

func (w *stalledWriter) Write(line []byte) (int, error) {
	<-w.released
	return w.written.Write(line)
}

func TestNewAsync_EmitDoesNotBlockOnWriter(t *testing.T) {
	const excess = 100
	writer := &stalledWriter{released: make(chan struct{})}
	l := NewAsync(writer, "info", "n")
	for range queueCapacity + excess {
		l.Emit(NodeStarted)
	}
	if got := l.DroppedLines(); got == 0 || got > excess {
		t.Errorf("%d lines were dropped", got)
	}
	if got := l.Counts()[NodeStarted.Name]; got != queueCapacity+excess {
		t.Errorf("%d events were counted", got)
	}
	l.Close(time.Millisecond) // must not wait for the writer either
	l.Emit(NodeStopped)
	close(writer.released)
}

func TestClose_WritesQueuedLines(t *testing.T) {
	writer := &stalledWriter{released: make(chan struct{})}
	l := NewAsync(writer, "info", "n")
	l.Emit(NodeStarted, "first", 1)
	l.Emit(NodeStopped, "second", 2)
	close(writer.released)
	l.Close(time.Minute)
	lines := strings.Split(strings.TrimSpace(writer.written.String()), "\n")
	if len(lines) != 2 || !strings.Contains(lines[0], `"first":1`) || !strings.Contains(lines[1], `"second":2`) {
		t.Errorf("%q", lines)
	}
}
