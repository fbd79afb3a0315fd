// The parent's end of a Part that runs in a process of its own.
package hollow

import (
	"bufio"
	"encoding/json"
	"io"
	"os"
	"os/exec"
	"syscall"
	"time"
)

type child struct {
	Brief
	cmd   *exec.Cmd
	in    io.WriteCloser
	lines *bufio.Reader
}

func startChild(brief Brief, trouble io.Writer) (*child, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	c := &child{Brief: brief, cmd: exec.Command(self, "hollow-part")}
	c.cmd.Stderr = trouble
	c.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if c.in, err = c.cmd.StdinPipe(); err != nil {
		return nil, err
	}
	out, err := c.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	c.lines = bufio.NewReaderSize(out, 1<<20)
	if err := c.cmd.Start(); err != nil {
		return nil, err
	}
	return c, c.say(brief)
}

func (c *child) say(what any) error {
	raw, err := json.Marshal(what)
	if err != nil {
		return err
	}
	_, err = c.in.Write(append(raw, '\n'))
	return err
}

// askTime is how long a Part may take to answer; one that takes longer is killed.
const askTime = 30 * time.Second

func (c *child) ask(ask Ask) (*Reading, error) {
	late := time.AfterFunc(askTime, func() { c.cmd.Process.Kill() })
	defer late.Stop()
	if err := c.say(ask); err != nil {
		return nil, err
	}
	var reading Reading
	if err := next(c.lines, &reading); err != nil {
		return nil, err
	}
	return &reading, nil
}

// end closes the input, upon which the process goes by itself, or is killed.
func (c *child) end() {
	c.in.Close()
	stop := time.AfterFunc(5*time.Second, func() { c.cmd.Process.Kill() })
	c.cmd.Wait()
	stop.Stop()
}
