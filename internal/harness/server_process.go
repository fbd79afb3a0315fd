package harness

import (
	"context"
	"encoding/json"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/checker"
	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/standin"
)

// ServerCommand is the name of the harness command that calls RunServer.
const ServerCommand = "server"

const (
	// drainPropagation is the delay between the acknowledged announcement that a server drains and
	// the announcement that it leaves. Proxies in contact with the fleet learn of the drain earlier.
	drainPropagation = 2500 * time.Millisecond
	// drainMargin is the time that a leaving server has, in addition to its service time, to finish
	// its requests.
	drainMargin = 5 * time.Second
)

// serverConfig is the first message that a server process reads: the server's parameters and the
// start time of the history.
type serverConfig struct {
	HistoryStart time.Time
	Service      string
	Address      string
	Zone         string
	SealKey      string
	Nodes        []string
	ServiceTime  time.Duration
}

// serverControl is a message that a server process may read after its serverConfig.
type serverControl struct {
	Drain bool // drain the server and exit
}

// RunServer runs one stand-in server with the serverConfig read from input. It stops when input or
// the context ends, or after it has drained the server on request. Only then does it write the
// server's records to output, so that a slow reader can't delay the server.
func RunServer(ctx context.Context, input io.Reader, output io.Writer) error {
	decoder := json.NewDecoder(input)
	var config serverConfig
	if err := decoder.Decode(&config); err != nil {
		return errcode.New(errcode.InvalidCall, "decoding the server's configuration: %v", err)
	}
	// Without kernel timestamps, the records lack only the times of receipt.
	if stop, err := standin.StartTimestamps(); err == nil {
		defer stop()
	}
	history := checker.JoinHistory(config.HistoryStart)
	server := &standin.Server{
		Network:     environment.NewHost(""),
		History:     history,
		Service:     config.Service,
		Address:     config.Address,
		Zone:        config.Zone,
		SealKey:     config.SealKey,
		Nodes:       config.Nodes,
		ServiceTime: config.ServiceTime,
	}
	if err := server.Start(ctx); err != nil {
		return err
	}
	controls := make(chan serverControl, 1)
	go func() {
		var control serverControl
		decoder.Decode(&control) // an error means that input has ended
		controls <- control
	}()
	select {
	case control := <-controls:
		if control.Drain {
			drain(ctx, server)
		}
	case <-ctx.Done():
	}
	server.Close()
	return json.NewEncoder(output).Encode(history.Records())
}

// drain stops a server as planned: the server keeps serving for drainPropagation after it has
// announced the drain, then announces that it leaves and finishes its requests.
func drain(ctx context.Context, server *standin.Server) {
	if !server.Announce(ctx, "draining") {
		return
	}
	pause(ctx, drainPropagation)
	server.Announce(ctx, "leaving")
	finishCtx, cancel := context.WithTimeout(ctx, server.ServiceTime+drainMargin)
	defer cancel()
	server.Shutdown(finishCtx)
}

// serverProcess is a stand-in server that runs in a separate process, so that busy clients in this
// process can't delay it and its records of received requests.
type serverProcess struct {
	server    *standin.Server // the parameters of the server; not started in this process
	command   *exec.Cmd
	input     io.WriteCloser
	isDrained bool // has drained and exited

	done    chan struct{}    // closed when records and err are set
	records []checker.Record // everything that the process recorded
	err     error            // from decoding the records or from the process's exit
}

// launchServerProcess starts a server in a new process that executes the program of this process.
func (r *run) launchServerProcess(server *standin.Server) error {
	program, err := os.Executable()
	if err != nil {
		return err
	}
	p := &serverProcess{server: server, command: exec.Command(program, ServerCommand), done: make(chan struct{})}
	input, err := p.command.StdinPipe()
	if err != nil {
		return err
	}
	output, err := p.command.StdoutPipe()
	if err != nil {
		return err
	}
	stderr, err := os.OpenFile(filepath.Join(r.Folder, "servers.stderr"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer stderr.Close()
	p.input, p.command.Stderr = input, stderr
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		return err
	}
	r.serverProcesses = append(r.serverProcesses, p)
	go p.collect(output)
	return json.NewEncoder(input).Encode(serverConfig{
		HistoryStart: r.history.StartedAt(),
		Service:      server.Service,
		Address:      server.Address,
		Zone:         server.Zone,
		SealKey:      server.SealKey,
		Nodes:        server.Nodes,
		ServiceTime:  server.ServiceTime,
	})
}

// collect reads the process's records and waits until it has exited.
func (p *serverProcess) collect(output io.Reader) {
	defer close(p.done)
	decodeErr := json.NewDecoder(output).Decode(&p.records)
	if p.err = p.command.Wait(); p.err == nil {
		p.err = decodeErr
	}
}

// stopServerProcesses stops all server processes and merges their records into the history. It
// returns the first error of a process.
func (r *run) stopServerProcesses() error {
	processes := r.serverProcesses
	r.serverProcesses = nil
	for _, p := range processes {
		p.input.Close()
	}
	var firstErr error
	var records []checker.Record
	for _, p := range processes {
		select {
		case <-p.done:
		case <-time.After(stopTimeout):
			p.command.Process.Kill()
			<-p.done
		}
		if p.err != nil && firstErr == nil {
			firstErr = errcode.New(errcode.Internal, "a server process failed: %v", p.err)
		}
		records = append(records, p.records...)
	}
	r.history.Merge(records)
	return firstErr
}
