package command

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/harness"
)

// maxSoakNodes bounds the processes of one soak.
const maxSoakNodes = 300

// soakCommand is the command that wears a fleet out with planned work.
func soakCommand(binary, folder cli.Flag) *cli.Command {
	return &cli.Command{Name: "soak", Usage: "planned work in series, while clients use open connections to the last",
		Description: "Signals, restarts and change sets come in series and overlap; nothing else is done to the fleet. Ends with 1 if a request was read and got neither an answer nor a refusal, a process did not stop by itself in time, or the history breaks a rule; the seed is then named.",
		Flags: []cli.Flag{binary, folder,
			&cli.StringFlag{Name: "seeds", Value: "1", Usage: "what the work is drawn from: a number, or FIRST:LAST for a run with each"},
			&cli.IntFlag{Name: "seconds", Value: 20, Usage: "length of the planned work"},
			&cli.IntFlag{Name: "cores", Value: 3, Usage: "core nodes"},
			&cli.IntFlag{Name: "proxies", Value: 6, Usage: "proxies"},
			&cli.IntFlag{Name: "clients", Value: 60, Usage: "clients, each with one connection"},
			&cli.StringFlag{Name: "history", Usage: "`FILE` to record the history in, for sumac judge and harness report"},
			&cli.FloatFlag{Name: "cpu", Usage: "share of a processor that each process gets, by stopping and continuing it; all of it if 0"},
		}, Action: soak}
}

// serverCommand is the command of a soak's server processes.
func serverCommand() *cli.Command {
	return &cli.Command{Name: harness.ServerCommand, Hidden: true, Usage: "one stand-in server, as standard input describes it, until that ends",
		Action: func(ctx context.Context, _ *cli.Command) error { return harness.RunServer(ctx, os.Stdin, os.Stdout) },
	}
}

// endWatchCommand is the command of the process that notes when a soak's nodes end.
func endWatchCommand() *cli.Command {
	return &cli.Command{Name: harness.EndWatchCommand, Hidden: true, Usage: "when processes end, as standard input names them, until that ends",
		Action: func(context.Context, *cli.Command) error { return harness.WatchEnds(os.Stdin, os.Stdout) },
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
		return errcode.New(errcode.InvalidCall, "a soak has 3 core nodes and a proxy at least, and %d nodes at most", maxSoakNodes)
	case cmd.Int("clients") < 1 || cmd.Int("seconds") < 1 || cmd.Int("seconds") > 3600:
		return errcode.New(errcode.InvalidCall, "a soak has a client at least, and 1 to 3600 seconds")
	case share < 0 || share > 1:
		return errcode.New(errcode.InvalidCall, "the share of a processor must be 0 to 1")
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
				Binary:   cmd.String("sumac"),
				Folder:   seedFolder(folder, seed, first == last),
				Output:   os.Stdout,
				History:  history.Writer,
				Seed:     seed,
				Seconds:  cmd.Int("seconds"),
				Cores:    cores,
				Proxies:  proxies,
				Clients:  cmd.Int("clients"),
				CPUShare: cmd.Float("cpu"),
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
