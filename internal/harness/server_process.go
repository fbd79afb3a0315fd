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

// ServerCommand is the harness's command that RunServer carries out.
const ServerCommand = "server"

const (
	// drainPropagation is between the moment at which a node knows that a server drains, and the
	// server's leaving; proxies in contact know it before.
	drainPropagation = 2500 * time.Millisecond
	// drainSlack is what a server that leaves has beyond its service time to finish what it has.
	drainSlack = 5 * time.Second
)

// serverConfig is what a server process reads first: its server, and when the history began.
type serverConfig struct {
	HistoryStart time.Time
	Service      string
	Address      string
	Zone         string
	SealKey      string
	Nodes        []string
	ServiceTime  time.Duration
}

// serverOrder is what a server process may be told after its description.
type serverOrder struct {
	Drain bool // it leaves as planned, and ends
}

// RunServer runs one stand-in server as input describes it, until input or the context ends, or it is
// told to drain and has. Then it writes the server's records to output: before, a reader that is late
// would make it late.
func RunServer(ctx context.Context, input io.Reader, output io.Writer) error {
	decoder := json.NewDecoder(input)
	var config serverConfig
	if err := decoder.Decode(&config); err != nil {
		return errcode.New(errcode.InvalidCall, "the server's description: %v", err)
	}
	// Without the kernel's times a history only has no times of receipt.
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
	orders := make(chan serverOrder, 1)
	go func() {
		var order serverOrder
		decoder.Decode(&order) // without one, input's end is what counts
		orders <- order
	}()
	select {
	case order := <-orders:
		if order.Drain {
			drain(ctx, server)
		}
	case <-ctx.Done():
	}
	server.Close()
	return json.NewEncoder(output).Encode(history.Records())
}

// drain has a server leave as planned: it goes on serving until every node knows, and finishes what
// it has.
func drain(ctx context.Context, server *standin.Server) {
	if !server.Announce(ctx, "draining") {
		return
	}
	pause(ctx, drainPropagation)
	server.Announce(ctx, "leaving")
	limited, cancel := context.WithTimeout(ctx, server.ServiceTime+drainSlack)
	defer cancel()
	server.Finish(limited)
}

// serverProcess is one stand-in server in a process of its own. Clients can't make it late: a
// request is noted when it comes, however busy they are.
type serverProcess struct {
	server  *standin.Server // as it was described
	command *exec.Cmd
	input   io.WriteCloser
	hasLeft bool // as planned

	done    chan struct{}    // closed when the two below are set
	records []checker.Record // all that it recorded
	err     error            // of its end
}

// launchServerProcess starts a server in a process of its own, by the program of this one.
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

// collect reads the process's records, and waits for its end.
func (p *serverProcess) collect(output io.Reader) {
	defer close(p.done)
	failed := json.NewDecoder(output).Decode(&p.records)
	if p.err = p.command.Wait(); p.err == nil {
		p.err = failed
	}
}

// stopServerProcesses ends the servers that have processes of their own, and takes their records
// into the history.
func (r *run) stopServerProcesses() error {
	processes := r.serverProcesses
	r.serverProcesses = nil
	for _, p := range processes {
		p.input.Close()
	}
	var first error
	var records []checker.Record
	for _, p := range processes {
		select {
		case <-p.done:
		case <-time.After(stopTimeout):
			p.command.Process.Kill()
			<-p.done
		}
		if p.err != nil && first == nil {
			first = errcode.New(errcode.Internal, "a server's process: %v", p.err)
		}
		records = append(records, p.records...)
	}
	r.history.Merge(records)
	return first
}
