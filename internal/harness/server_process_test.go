package harness

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/api"
	"github.com/sumactrestle/sumactrestle/internal/checker"
)

// A server process records times relative to the start of the run's history, and the time at which
// the kernel received each request.
func TestRunServer_RecordsTimesSinceHistoryStart(t *testing.T) {
	const age = time.Hour
	address := unusedAddress(t)
	description, err := json.Marshal(serverConfig{HistoryStart: time.Now().Add(-age), Service: "reads", Address: address, Nodes: []string{unusedAddress(t)}})
	if err != nil {
		t.Fatal(err)
	}
	input, inputWriter := io.Pipe()
	var output bytes.Buffer
	done := make(chan error, 1)
	go func() { done <- RunServer(t.Context(), input, &output) }()
	if _, err := inputWriter.Write(description); err != nil {
		t.Fatal(err)
	}
	startedAt := time.Now()
	for response := (*http.Response)(nil); response == nil; {
		response, err = http.Get(fmt.Sprintf("http://%s/reads/x", address))
		if err == nil {
			response.Body.Close()
		} else if time.Since(startedAt) > 10*time.Second {
			t.Fatal(err)
		}
	}
	inputWriter.Close()
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	var records []checker.Record
	if err := json.Unmarshal(output.Bytes(), &records); err != nil || len(records) != 1 {
		t.Fatal(records, err)
	}
	record := records[0]
	isOrdered := age <= record.Received && record.Received <= record.Start && record.Start <= record.At && record.At < age+time.Minute
	if record.Kind != checker.RequestExecuted || !isOrdered {
		t.Errorf("%+v", record)
	}
}

// A server process that receives a drain message announces the states, finishes its request and
// exits by itself.
func TestRunServer_DrainsAndExits(t *testing.T) {
	const serviceTime = 4 * time.Second // longer than drainPropagation
	address := unusedAddress(t)
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(&api.Taken{})
	}))
	defer node.Close()
	config := serverConfig{HistoryStart: time.Now(), Service: "reads", Address: address, Nodes: []string{node.Listener.Addr().String()}, ServiceTime: serviceTime}
	input, inputWriter := io.Pipe()
	defer inputWriter.Close()
	var output bytes.Buffer
	done := make(chan error, 1)
	runCtx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	go func() { done <- RunServer(runCtx, input, &output) }()
	encoder := json.NewEncoder(inputWriter)
	if err := encoder.Encode(config); err != nil {
		t.Fatal(err)
	}
	requestDone := make(chan error, 1)
	go func() { requestDone <- getOnceListening(fmt.Sprintf("http://%s/reads/x", address)) }()
	time.Sleep(serviceTime / 4)
	if err := encoder.Encode(serverControl{Drain: true}); err != nil {
		t.Fatal(err)
	}
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	if err := <-requestDone; err != nil {
		t.Error(err)
	}
	var records []checker.Record
	if err := json.Unmarshal(output.Bytes(), &records); err != nil {
		t.Fatal(err)
	}
	states := []string{}
	for _, r := range records {
		if r.Kind == checker.DrainAcknowledged {
			states = append(states, r.Note)
		}
	}
	if len(records) != 3 || !slices.Equal(states, []string{"draining", "leaving"}) {
		t.Errorf("%+v", records)
	}
}

// getOnceListening retries a GET until the server listens, for at most 10 seconds.
func getOnceListening(url string) error {
	for startedAt := time.Now(); ; time.Sleep(10 * time.Millisecond) {
		response, err := http.Get(url)
		if err == nil {
			return response.Body.Close()
		}
		if !errors.Is(err, syscall.ECONNREFUSED) || time.Since(startedAt) > 10*time.Second {
			return err
		}
	}
}

// unusedAddress returns a loopback address at which no process listens.
func unusedAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}
