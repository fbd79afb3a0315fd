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
		},
	}
	if err := app.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "troupe:", err)
		os.Exit(1)
	}
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
