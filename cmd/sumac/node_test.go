package main

import (
	"errors"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// A log that takes no lines, as on a disk that stands still: each line was written by the task that
// had something to tell, so that none of them went on, neither a proxy's answers nor its stop.
func TestNode_ServesAndStopsWhileItsLogTakesNoLines(t *testing.T) {
	const limit = 10 * time.Second // for a start or a stop
	api := unusedAddress(t)
	ended := make(chan error, 1)
	go func() {
		ended <- run("node", "--set", "name=proxy1", "--set", "log.file="+fullPipe(t), "--set", "seeds="+unusedAddress(t), "--set", "peer.address="+unusedAddress(t),
			"--set", "api.address="+api, "--set", "proxy.address="+unusedAddress(t), "--set", "shutdown.grace_period=2s", "--set", "proxy.drain_delay=100ms")
	}()
	client := http.Client{Timeout: limit}
	for began := time.Now(); ; {
		response, err := client.Get("http://" + api + "/metrics")
		if err == nil {
			response.Body.Close()
			break
		}
		if time.Since(began) > limit {
			t.Fatal("the node does not serve:", err)
		}
	}
	if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	select {
	case err := <-ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(limit):
		t.Error("the node does not stop")
	}
}

// fullPipe is the path of a named pipe that takes no more bytes.
func fullPipe(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "log")
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	pipe, err := syscall.Open(path, syscall.O_RDWR|syscall.O_NONBLOCK, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { syscall.Close(pipe) })
	for err == nil {
		_, err = syscall.Write(pipe, make([]byte, os.Getpagesize()))
	}
	if !errors.Is(err, syscall.EAGAIN) {
		t.Fatal(err)
	}
	return path
}

// unusedAddress is one that nobody listens at.
func unusedAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}
