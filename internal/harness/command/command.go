// Package command implements the command line of the harness, which runs fleets of real
// `sumac node` processes on loopback addresses with stand-in clients and servers and checks the
// recorded histories.
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
	binary := &cli.StringFlag{Name: "sumac", Value: "bin/sumac", Usage: "sumac `PROGRAM` to run"}
	folder := &cli.StringFlag{Name: "folder", Usage: "`FOLDER` for data and logs; a new temporary folder if empty"}
	return commandline.Strict(&cli.Command{
		Name:        "harness",
		Usage:       "run fleets of sumac nodes on this machine",
		Description: "All processes use loopback addresses. Exits with 1 if a run breaks a rule or does not complete; its logs are kept. Exits with 2 if the command line is invalid.",
		Commands: []*cli.Command{
			{Name: "smoke", Usage: "run a short end-to-end test", Description: "Starts three core nodes, two proxies and stand-in servers, submits a change set that reaches every proxy, kills, wipes and stops nodes, and checks the history. Exits with 1 if the history breaks a rule or a node does not serve in time.", Flags: []cli.Flag{binary, folder}, Action: func(ctx context.Context, cmd *cli.Command) error {
				return inFolder(cmd, func(folder string) error {
					return harness.Smoke(ctx, cmd.String("sumac"), folder, os.Stdout)
				})
			}},
			{Name: "up", Usage: "keep a fleet with stand-in servers running, for inspection and fault injection", Description: "Prints the addresses of the nodes and example commands, and runs until SIGTERM or SIGINT.", Flags: []cli.Flag{binary, folder,
				&cli.StringFlag{Name: "shape", Value: "small", Usage: "shape of the deployment: quoteline, municipality or small"},
			}, Action: func(ctx context.Context, cmd *cli.Command) error {
				shape, err := harness.FindShape(cmd.String("shape"))
				if err != nil {
					return err
				}
				return inFolder(cmd, func(folder string) error {
					return harness.Up(ctx, cmd.String("sumac"), folder, shape, os.Stdout)
				})
			}},
			{Name: "run", Usage: "run a deployment under load and inject random faults", Description: "Starts a fleet of real processes with stand-in servers, generates the load of clients, operators and applications, and injects faults of the given kind. Checks the history at the end, and prints the response rates and, unless the faults disturb nodes or servers, the processor time, disk syncs and messages. Exits with 1 if the fleet does not become ready or the history breaks a rule.", Flags: []cli.Flag{binary, folder,
				&cli.StringFlag{Name: "shape", Value: "small", Usage: "shape of the deployment: quoteline, municipality or small"},
				&cli.FloatFlag{Name: "factor", Value: 0.2, Usage: "factor by which the shape's rates are multiplied"},
				&cli.IntFlag{Name: "seconds", Value: 30, Usage: "duration of the load in seconds"},
				&cli.StringFlag{Name: "seeds", Value: "1", Usage: "seed of the random faults: a number, or FIRST:LAST for one run per seed"},
				&cli.StringFlag{Name: "other", Usage: "sumac `PROGRAM` of another build, for --faults roll"},
				&cli.BoolFlag{Name: "small", Usage: "limit each process to the shape's share of a processor by stopping and continuing it"},
				&cli.DurationFlag{Name: "work", Usage: "time that a server takes to process a request"},
				&cli.FloatFlag{Name: "eager", Value: -1, Usage: "probability that a client retries a failed order at once; the shape's if negative"},
				&cli.StringFlag{Name: "faults", Value: "none", Usage: "kind of fault to inject: none, kill, herd, wipe, freeze, cut, stop, server, change, grow, roll or all"},
				&cli.IntFlag{Name: "mappings", Usage: "number of additional mappings in the configuration, which get no load"},
				&cli.BoolFlag{Name: "twice", Usage: "disable at-most-once execution of orders, so that a retry may be executed again"},
				&cli.StringFlag{Name: "profile", Usage: "`FOLDER` for CPU profiles of one core node and one proxy"},
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
		return errcode.New(errcode.InvalidCall, "--factor must be above 0 and at most 10, and --seconds 1 to 3600")
	}
	if cmd.Duration("work") < 0 || cmd.Duration("work") > time.Minute || cmd.Float("eager") > 1 {
		return errcode.New(errcode.InvalidCall, "--work must be 0 to 1m, and --eager at most 1")
	}
	if !harness.HasFault(cmd.String("faults")) {
		return errcode.New(errcode.InvalidCall, "unknown kind of fault %q", cmd.String("faults"))
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
		return historyFile{}, errcode.New(errcode.InvalidCall, "--history requires a single seed")
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
