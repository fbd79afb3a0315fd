// Troupe is the fleet harness: it runs many `sumac node` processes on loopback
// addresses, with stand-ins around them, and judges what happened.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/sumactrestle/sumactrestle/internal/fleet"
)

func main() {
	ctx, end := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer end()
	binary := &cli.StringFlag{Name: "sumac", Value: "bin/sumac", Usage: "the program to run"}
	folder := &cli.StringFlag{Name: "folder", Usage: "folder for data and logs; a fresh temporary one if empty"}
	app := &cli.Command{
		Name:  "troupe",
		Usage: "run fleets of sumac on this machine",
		Commands: []*cli.Command{
			{Name: "smoke", Usage: "the bounded run of the whole path", Flags: []cli.Flag{binary, folder}, Action: func(ctx context.Context, cmd *cli.Command) error {
				return inFolder(cmd, func(folder string) error {
					return fleet.Smoke(ctx, cmd.String("sumac"), folder, os.Stdout)
				})
			}},
			{Name: "up", Usage: "keep a fleet with stand-in servers running, to look at and to hurt", Flags: []cli.Flag{binary, folder,
				&cli.StringFlag{Name: "shape", Value: "small", Usage: "quoteline, municipality or small"},
			}, Action: func(ctx context.Context, cmd *cli.Command) error {
				shape, err := fleet.ShapeOf(cmd.String("shape"))
				if err != nil {
					return err
				}
				return inFolder(cmd, func(folder string) error {
					return fleet.Up(ctx, cmd.String("sumac"), folder, shape, os.Stdout)
				})
			}},
			{Name: "run", Usage: "run a whole deployment under load, with faults drawn from a seed", Flags: []cli.Flag{binary, folder,
				&cli.StringFlag{Name: "shape", Value: "small", Usage: "quoteline, municipality or small"},
				&cli.FloatFlag{Name: "factor", Value: 0.2, Usage: "the rates are multiplied by this"},
				&cli.IntFlag{Name: "seconds", Value: 30, Usage: "length of the load"},
				&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "what the faults are drawn from"},
				&cli.StringFlag{Name: "faults", Value: "none", Usage: "none, kill, herd, wipe, freeze, cut, stop, server, change or all"},
				&cli.IntFlag{Name: "mappings", Usage: "so many more mappings in the configuration"},
				&cli.BoolFlag{Name: "twice", Usage: "orders are not claimed, so that a repeat may run them again"},
				&cli.StringFlag{Name: "profile", Usage: "folder for processor profiles of one core node and one proxy"},
				&cli.StringFlag{Name: "history", Usage: "file to record the history in, for sumac judge"},
			}, Action: deployment},
		},
	}
	if err := app.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "troupe:", err)
		os.Exit(1)
	}
}

func deployment(ctx context.Context, cmd *cli.Command) error {
	shape, err := fleet.ShapeOf(cmd.String("shape"))
	if err != nil {
		return err
	}
	run := &fleet.Run{Factor: cmd.Float("factor"), Seconds: cmd.Int("seconds"), Seed: cmd.Uint64("seed"), Fault: cmd.String("faults"), Mapped: cmd.Int("mappings"), Profile: cmd.String("profile"), IsTwice: cmd.Bool("twice")}
	if run.Factor <= 0 || run.Factor > 1 || run.Seconds < 1 || run.Seconds > 3600 {
		return fmt.Errorf("the factor must be above 0 and at most 1, the seconds 1 to 3600")
	}
	if path := cmd.String("history"); path != "" {
		file, err := os.Create(path)
		if err != nil {
			return err
		}
		defer file.Close()
		run.History = file
	}
	return inFolder(cmd, func(folder string) error {
		return run.Go(ctx, cmd.String("sumac"), folder, shape, os.Stdout)
	})
}

// inFolder keeps the folder only when the run failed, or when it was named.
func inFolder(cmd *cli.Command, run func(folder string) error) error {
	folder := cmd.String("folder")
	if folder != "" {
		whole, err := filepath.Abs(folder)
		if err != nil {
			return err
		}
		return run(whole)
	}
	folder, err := os.MkdirTemp("", "troupe-")
	if err != nil {
		return err
	}
	if err := run(folder); err != nil {
		fmt.Fprintln(os.Stderr, "troupe: logs are kept in", folder)
		return err
	}
	return os.RemoveAll(folder)
}
