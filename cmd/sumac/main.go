// Sumac is the one program of sumactrestle: a node, and the commands by which
// an operator checks settings, submits change sets and looks at the fleet.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/sumactrestle/sumactrestle/internal/fault"
	"github.com/sumactrestle/sumactrestle/internal/props"
	"github.com/sumactrestle/sumactrestle/internal/realm"
	"github.com/sumactrestle/sumactrestle/internal/seat"
	"github.com/sumactrestle/sumactrestle/internal/sign"
	"github.com/sumactrestle/sumactrestle/platform"
)

// Version is set when a release is built.
var Version = "0.1.0-dev"

func main() {
	if err := app().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "sumac:", describe(err))
		os.Exit(exitCode(err))
	}
}

func app() *cli.Command {
	return &cli.Command{
		Name:                      "sumac",
		Usage:                     "an API gateway whose many nodes act as one",
		Version:                   Version,
		DisableSliceFlagSeparator: true,
		ExitErrHandler:            func(context.Context, *cli.Command, error) {},
		Commands: []*cli.Command{
			{Name: "node", DisableSliceFlagSeparator: true, Usage: "run a node", Flags: propsFlags(), Action: runNode},
			{Name: "check", DisableSliceFlagSeparator: true, Usage: "check a node's settings, or a change set (--change)", Flags: append(propsFlags(), &cli.StringFlag{Name: "change", Usage: "file of a change set (YAML or JSON)"}, apiFlag(false), objectsFlag()), Action: runCheck},
			{Name: "submit", Usage: "submit a change set", ArgsUsage: "FILE", Flags: []cli.Flag{apiFlag(true), objectsFlag(), &cli.StringFlag{Name: "id", Usage: "id of the change set, if the file has none"}, &cli.Uint64Flag{Name: "base", Usage: "the epoch last seen, if the file names none"}, &cli.BoolFlag{Name: "amend", Usage: "take the epoch in force as the one last seen"}}, Action: runSubmit},
			{Name: "ask", Usage: "ask what became of a change set", ArgsUsage: "ID", Flags: []cli.Flag{apiFlag(true)}, Action: runAsk},
			{Name: "epoch", Usage: "print the epoch in force", Flags: []cli.Flag{apiFlag(true)}, Action: runEpoch},
			{Name: "shell", Usage: "query the fleet's state", ArgsUsage: "[QUERY]", Flags: []cli.Flag{apiFlag(true)}, Action: runShell},
			platform.Command(),
			{Name: "judge", Usage: "replay a recorded history through the checkers", ArgsUsage: "FILE", Action: runJudge},
		},
	}
}

func propsFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "props", Usage: "file of settings (YAML or JSON)"},
		&cli.StringSliceFlag{Name: "set", Usage: "one setting, `KEY=VALUE`; may be given often"},
	}
}

func apiFlag(isNeeded bool) cli.Flag {
	return &cli.StringFlag{Name: "api", Usage: "API address of any node", Sources: cli.EnvVars("SUMAC_API"), Required: isNeeded}
}

func objectsFlag() cli.Flag {
	return &cli.BoolFlag{Name: "objects", Usage: "the file holds Kubernetes-style objects (HTTPRoute)"}
}

func readProps(cmd *cli.Command) (*props.Props, error) {
	flags := map[string]string{}
	for _, pair := range cmd.StringSlice("set") {
		key, value, ok := strings.Cut(pair, "=")
		if !ok {
			return nil, fault.New(fault.BadProps, "--set %q is not KEY=VALUE", pair)
		}
		flags[key] = value
	}
	return props.Load(cmd.String("props"), flags)
}

func runNode(ctx context.Context, cmd *cli.Command) error {
	p, err := readProps(cmd)
	if err != nil {
		return err
	}
	var out io.Writer = os.Stderr
	if p.LogFile != "" {
		file, err := os.OpenFile(p.LogFile, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
		if err != nil {
			return fault.New(fault.BadProps, "log.file: %v", err)
		}
		defer file.Close()
		out = file
	}
	if p.DataFolder != "" {
		if err := os.MkdirAll(p.DataFolder, 0o755); err != nil {
			return fault.New(fault.BadProps, "data.folder: %v", err)
		}
	}
	r := realm.New(ctx, p, sign.New(out, p.LogLevel, p.Name), realm.Host(p.WireAddress))
	node, err := seat.Start(r)
	if err != nil {
		r.End()
		return err
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	var failed <-chan struct{}
	if node.Store != nil {
		failed = node.Store.Failed
	}
	select {
	case <-signals:
		node.Stop()
		return nil
	case <-failed:
		r.End()
		return fault.New(fault.StorageBroken, "%s", p.DataFolder)
	}
}

// exitCode is 1 for what the command did not do, 2 for what can't be read.
func exitCode(err error) int {
	switch fault.Of(err).Code.No {
	case fault.BadProps.No, fault.BadCall.No, fault.BadChange.No:
		return 2
	}
	return 1
}

func describe(err error) string {
	p := fault.Of(err)
	if p.Code.No == fault.Internal.No {
		return err.Error()
	}
	text := fmt.Sprintf("%d %s", p.Code.No, p.Code.Text)
	if p.Note != "" {
		text += ": " + p.Note
	}
	for _, path := range p.Paths {
		text += "\n  " + path
	}
	return text
}
