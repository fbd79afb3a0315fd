package command

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/harness"
)

// maxSoakNodes is the most core nodes and proxies of one soak.
const maxSoakNodes = 300

// soakCommand returns the command that runs a fleet under load while planned work is done on it.
func soakCommand(binary, folder cli.Flag) *cli.Command {
	return &cli.Command{Name: "soak", Usage: "run a fleet under load while nodes are restarted and change sets are submitted",
		Description: "The planned work consists of overlapping series of signals, restarts, server drains and change sets; faults are injected only with --core-faults. Clients use each connection until the proxy closes it, and applications use locks. Exits with 1 if a request was read but received no response, a process exited without a stop signal or did not stop cleanly and in time, or the history breaks a rule; the failed seeds are printed.",
		Flags: []cli.Flag{binary, folder,
			&cli.StringFlag{Name: "seeds", Value: "1", Usage: "seed of the planned work: a number, or FIRST:LAST for one run per seed"},
			&cli.IntFlag{Name: "seconds", Value: 20, Usage: "duration of the planned work in seconds"},
			&cli.IntFlag{Name: "cores", Value: 3, Usage: "number of core nodes"},
			&cli.IntFlag{Name: "proxies", Value: 6, Usage: "number of proxies"},
			&cli.IntFlag{Name: "clients", Value: 60, Usage: "number of clients, each with one connection"},
			&cli.StringFlag{Name: "history", Usage: "`FILE` to record the history in, for sumac judge and harness report"},
			&cli.BoolFlag{Name: "core-faults", Usage: "stall core nodes and cut links between them in addition to the planned work"},
			&cli.FloatFlag{Name: "cpu", Usage: "limit each process to this share of a processor by stopping and continuing it; no limit if 0"},
		}, Action: soak}
}

// serverCommand returns the hidden command that a soak runs in its stand-in server processes.
func serverCommand() *cli.Command {
	return &cli.Command{Name: harness.ServerCommand, Hidden: true, Usage: "run one stand-in server, described on standard input, until the input ends",
		Action: func(ctx context.Context, _ *cli.Command) error { return harness.RunServer(ctx, os.Stdin, os.Stdout) },
	}
}

// exitWatchCommand returns the hidden command that reports when a soak's nodes exit.
func exitWatchCommand() *cli.Command {
	return &cli.Command{Name: harness.ExitWatchCommand, Hidden: true, Usage: "report when processes exit, given their IDs on standard input, until the input ends",
		Action: func(context.Context, *cli.Command) error { return harness.WatchExits(os.Stdin, os.Stdout) },
	}
}

func soak(ctx context.Context, cmd *cli.Command) error {
	first, last, err := parseSeeds(cmd.String("seeds"))
	if err != nil {
		return err
	}
	cores, proxies := cmd.Int("cores"), cmd.Int("proxies")
	switch share := cmd.Float("cpu"); {
	case cores < 3 || proxies < 1 || cores+proxies > maxSoakNodes:
		return errcode.New(errcode.InvalidCall, "a soak needs at least 3 core nodes and 1 proxy, and at most %d nodes in all", maxSoakNodes)
	case cmd.Int("clients") < 1 || cmd.Int("seconds") < 1 || cmd.Int("seconds") > 3600:
		return errcode.New(errcode.InvalidCall, "a soak needs at least 1 client, and 1 to 3600 seconds")
	case share < 0 || share > 1:
		return errcode.New(errcode.InvalidCall, "--cpu must be 0 to 1")
	}
	history, err := createHistory(cmd.String("history"), first == last)
	if err != nil {
		return err
	}
	defer history.Close()
	failed := 0
	for seed := first; seed <= last && ctx.Err() == nil; seed++ {
		err := inFolder(cmd, func(folder string) error {
			return harness.Soak(ctx, harness.SoakOptions{
				Binary:     cmd.String("sumac"),
				Folder:     seedFolder(folder, seed, first == last),
				Output:     os.Stdout,
				History:    history.Writer,
				Seed:       seed,
				Seconds:    cmd.Int("seconds"),
				Cores:      cores,
				Proxies:    proxies,
				Clients:    cmd.Int("clients"),
				CPUShare:   cmd.Float("cpu"),
				CoreFaults: cmd.Bool("core-faults"),
			})
		})
		if err != nil {
			fmt.Printf("seed %d: %v\n", seed, err)
			failed++
		}
	}
	fmt.Printf("%d runs, %d failed\n", last-first+1, failed)
	if failed > 0 {
		return fmt.Errorf("%d of %d runs failed", failed, last-first+1)
	}
	return ctx.Err()
}
