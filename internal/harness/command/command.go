// Package command implements the command line of the harness, which runs fleets of real
// `sumac node` processes on loopback addresses with stand-in clients and servers and validates
// the recorded histories.
package command

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/sumactrestle/sumactrestle/internal/commandline"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/harness"
)

// Main runs the command given by os.Args. On an error it exits the process with the error's
// exit code.
func Main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := app().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "harness:", commandline.Describe(err))
		os.Exit(commandline.ExitCode(err))
	}
}

func app() *cli.Command {
	binary := &cli.StringFlag{Name: "sumac", Value: "bin/sumac", Usage: "the `PROGRAM` to run"}
	folder := &cli.StringFlag{Name: "folder", Usage: "`FOLDER` for data and logs; a fresh temporary one if empty"}
	return commandline.Strict(&cli.Command{
		Name:        "harness",
		Usage:       "run fleets of sumac on this machine",
		Description: "All runs on loopback addresses. A run that broke a rule or did not come to its end ends with 1 and keeps its logs, a call that can't be read with 2.",
		Commands: []*cli.Command{
			{Name: "smoke", Usage: "the bounded run of the whole path", Description: "Starts three core nodes, two proxies and stand-in servers, carries a change set to every proxy, kills and wipes nodes, and judges the history.", Flags: []cli.Flag{binary, folder}, Action: func(ctx context.Context, cmd *cli.Command) error {
				return inFolder(cmd, func(folder string) error {
					return harness.Smoke(ctx, cmd.String("sumac"), folder, os.Stdout)
				})
			}},
			{Name: "up", Usage: "keep a fleet with stand-in servers running, to look at and to hurt", Description: "Prints how to call it and to look at it, and runs until it is interrupted.", Flags: []cli.Flag{binary, folder,
				&cli.StringFlag{Name: "shape", Value: "small", Usage: "quoteline, municipality or small"},
			}, Action: func(ctx context.Context, cmd *cli.Command) error {
				shape, err := harness.FindShape(cmd.String("shape"))
				if err != nil {
					return err
				}
				return inFolder(cmd, func(folder string) error {
					return harness.Up(ctx, cmd.String("sumac"), folder, shape, os.Stdout)
				})
			}},
			{Name: "run", Usage: "run a whole deployment under load, with faults drawn from a seed", Description: "Real processes, callers, operators and applications under a load for some time; faults of the kind named are drawn meanwhile. The history is judged at the end, and what was served, sent and spent is printed.", Flags: []cli.Flag{binary, folder,
				&cli.StringFlag{Name: "shape", Value: "small", Usage: "quoteline, municipality or small"},
				&cli.FloatFlag{Name: "factor", Value: 0.2, Usage: "the rates are multiplied by this"},
				&cli.IntFlag{Name: "seconds", Value: 30, Usage: "length of the load"},
				&cli.StringFlag{Name: "seeds", Value: "1", Usage: "what the faults are drawn from: a number, or FIRST:LAST for a run with each"},
				&cli.StringFlag{Name: "other", Usage: "another `PROGRAM` of sumac, for --faults roll"},
				&cli.BoolFlag{Name: "small", Usage: "each process has only the shape's share of a processor, by stopping and continuing it"},
				&cli.DurationFlag{Name: "work", Usage: "how long a server works on each request"},
				&cli.FloatFlag{Name: "eager", Value: -1, Usage: "share of callers that repeat a failed order at once; the shape's if below zero"},
				&cli.StringFlag{Name: "faults", Value: "none", Usage: "none, kill, herd, wipe, freeze, cut, stop, server, change, grow, roll or all"},
				&cli.IntFlag{Name: "mappings", Usage: "so many more mappings in the configuration"},
				&cli.BoolFlag{Name: "twice", Usage: "orders are not claimed, so that a repeat may run them again"},
				&cli.StringFlag{Name: "profile", Usage: "`FOLDER` for processor profiles of one core node and one proxy"},
				&cli.StringFlag{Name: "history", Usage: "`FILE` to record the history in, for sumac judge and harness report"},
			}, Action: runDeployment},
			soakCommand(binary, folder),
			serverCommand(),
			exitWatchCommand(),
			upgradeCommand(folder),
			reportCommand(),
		},
	})
}

func runDeployment(ctx context.Context, cmd *cli.Command) error {
	shape, err := harness.FindShape(cmd.String("shape"))
	if err != nil {
		return err
	}
	if f := cmd.Float("factor"); f <= 0 || f > 10 || cmd.Int("seconds") < 1 || cmd.Int("seconds") > 3600 {
		return errcode.New(errcode.InvalidCall, "the factor must be above 0 and at most 10, the seconds 1 to 3600")
	}
	if cmd.Duration("work") < 0 || cmd.Duration("work") > time.Minute || cmd.Float("eager") > 1 {
		return errcode.New(errcode.InvalidCall, "the work must be 0 to 1m, the eager share at most 1")
	}
	if !harness.HasFault(cmd.String("faults")) {
		return errcode.New(errcode.InvalidCall, "there are no faults %q", cmd.String("faults"))
	}
	first, last, err := parseSeeds(cmd.String("seeds"))
	if err != nil {
		return err
	}
	history, err := createHistory(cmd.String("history"), first == last)
	if err != nil {
		return err
	}
	defer history.Close()
	failed := 0
	for seed := first; seed <= last; seed++ {
		options := harness.Options{
			Binary:          cmd.String("sumac"),
			OtherBinary:     cmd.String("other"),
			Shape:           shape,
			Output:          os.Stdout,
			History:         history.Writer,
			RateFactor:      cmd.Float("factor"),
			Seconds:         cmd.Int("seconds"),
			RetryShare:      cmd.Float("eager"),
			ServiceTime:     cmd.Duration("work"),
			ExtraRoutes:     cmd.Int("mappings"),
			AllowDuplicates: cmd.Bool("twice"),
			Fault:           cmd.String("faults"),
			Seed:            seed,
			ThrottleCPU:     cmd.Bool("small"),
			ProfileDir:      cmd.String("profile"),
		}
		err := inFolder(cmd, func(folder string) error {
			options.Folder = seedFolder(folder, seed, first == last)
			return harness.Run(ctx, options)
		})
		if err != nil {
			if ctx.Err() != nil || first == last {
				return err
			}
			fmt.Printf("seed %d: %v\n", seed, err)
			failed++
		}
	}
	if first != last {
		fmt.Printf("%d runs, %d failed\n", last-first+1, failed)
	}
	if failed > 0 {
		return fmt.Errorf("%d of %d runs failed", failed, last-first+1)
	}
	return nil
}

// historyFile is the file that a history is written to. Writer is nil if no history is recorded.
type historyFile struct {
	io.Writer
	file *os.File
}

// createHistory creates the history file at path. It creates none if path is empty, and fails if
// the run has more than one seed.
func createHistory(path string, isOneSeed bool) (historyFile, error) {
	if path == "" {
		return historyFile{}, nil
	}
	if !isOneSeed {
		return historyFile{}, errcode.New(errcode.InvalidCall, "a history is of one seed")
	}
	file, err := os.Create(path)
	return historyFile{file, file}, err
}

// Close closes the file, if there is one.
func (h historyFile) Close() {
	if h.file != nil {
		h.file.Close()
	}
}

// parseSeeds parses a single seed or an inclusive range FIRST:LAST.
func parseSeeds(text string) (first, last uint64, err error) {
	firstText, lastText, isRange := strings.Cut(text, ":")
	if !isRange {
		lastText = firstText
	}
	first, err = strconv.ParseUint(firstText, 10, 64)
	if err == nil {
		last, err = strconv.ParseUint(lastText, 10, 64)
	}
	if err != nil || last < first || last-first > 10000 {
		return 0, 0, errcode.New(errcode.InvalidCall, "--seeds %q is neither a number nor FIRST:LAST", text)
	}
	return first, last, nil
}

// inFolder calls run with the folder of the --folder flag, or with a temporary folder that is
// removed if run succeeds.
func inFolder(cmd *cli.Command, run func(folder string) error) error {
	folder := cmd.String("folder")
	if folder != "" {
		absolute, err := filepath.Abs(folder)
		if err != nil {
			return err
		}
		return run(absolute)
	}
	folder, err := os.MkdirTemp("", "harness-")
	if err != nil {
		return err
	}
	if err := run(folder); err != nil {
		fmt.Fprintln(os.Stderr, "harness: logs kept in", folder)
		return err
	}
	return os.RemoveAll(folder)
}

// seedFolder returns the folder for a seed's data and logs. Unless the run is the only one, this is
// a subfolder per seed: in a shared folder, a fleet would load the previous run's data.
func seedFolder(folder string, seed uint64, isOnly bool) string {
	if isOnly {
		return folder
	}
	return filepath.Join(folder, fmt.Sprintf("seed-%d", seed))
}
