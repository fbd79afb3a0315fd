// The commands of the load tool for control work: a run of one size, and the table
// of several runs' figures over one axis.
package main

import (
	"context"
	"encoding/json"
	"os"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/hollow"
)

func hollowCommands(common ...cli.Flag) []*cli.Command {
	count := func(name string, value int, usage string) cli.Flag {
		return &cli.IntFlag{Name: name, Value: value, Usage: usage}
	}
	return []*cli.Command{
		{Name: "hollow", Usage: "measure the control work of many gates and targets before real core nodes", Description: "Hollow gates listen, pulse, gossip and probe, hollow targets beat; no caller comes. After a window in which nothing changes come change sets, and when each gate had them. Prints messages, bytes, processor time and memory by role.", Flags: append(common,
			count("gates", 15, "hollow gates"),
			count("targets", 100, "hollow targets"),
			count("services", 10, "services of the configuration"),
			count("routes", 100, "routes of the configuration"),
			count("cores", 3, "core nodes, each a process"),
			count("zones", 7, "zones that all are spread over"),
			count("seconds", 15, "length of the quiet window"),
			count("processes", 4, "processes that the gates are spread over; the targets have one more"),
			count("pace", 40, "gates that start in a second"),
			count("calm", 10, "seconds before the window, for the news of the start to die down"),
			&cli.BoolFlag{Name: "lost", Usage: "a real gate is killed before the window"},
			count("changes", 3, "change sets after the window"),
			&cli.DurationFlag{Name: "beat", Value: 3 * time.Second, Usage: "pause between two beats of a target; silence is three of them"},
			&cli.StringSliceFlag{Name: "set", Usage: "a setting of every node, `KEY=VALUE`; may be given often"},
			&cli.StringFlag{Name: "json", Usage: "`FILE` for the raw figures, for troupe slopes and troupe report"},
		), Action: measure},
		{Name: "hollow-part", Hidden: true, Action: func(ctx context.Context, cmd *cli.Command) error {
			return hollow.Serve(ctx, os.Stdin, os.Stdout)
		}},
		{Name: "slopes", Usage: "set the figures of several hollow runs beside one another", Description: "The files are what troupe hollow --json wrote. Prints each figure by size, its slope, and what it comes to at --at.", ArgsUsage: "FILE...", Flags: []cli.Flag{
			&cli.StringFlag{Name: "by", Value: "gates", Usage: "the axis: gates, targets, services, routes or beats"},
			&cli.FloatFlag{Name: "at", Value: 460, Usage: "the size that the slopes are drawn out to"},
			&cli.StringSliceFlag{Name: "only", Usage: "figures whose names hold this; may be given often"},
		}, Action: slopes},
	}
}

func measure(ctx context.Context, cmd *cli.Command) error {
	size := hollow.Size{Gates: cmd.Int("gates"), Targets: cmd.Int("targets"), Services: cmd.Int("services"), Routes: cmd.Int("routes"),
		Cores: cmd.Int("cores"), Zones: cmd.Int("zones"), Processes: cmd.Int("processes"), Seconds: cmd.Int("seconds"), Changes: cmd.Int("changes"),
		Pace: cmd.Int("pace"), Calm: cmd.Int("calm"), IsLost: cmd.Bool("lost"), Beat: cmd.Duration("beat"), Settings: map[string]string{}}
	for _, pair := range cmd.StringSlice("set") {
		key, value, ok := strings.Cut(pair, "=")
		if !ok {
			return errcode.New(errcode.BadCall, "--set %q is not KEY=VALUE", pair)
		}
		size.Settings[key] = value
	}
	return inFolder(cmd, func(folder string) error {
		run := &hollow.Run{Size: size}
		report, err := run.Go(ctx, cmd.String("sumac"), folder, os.Stdout)
		if err != nil {
			return err
		}
		report.Print(os.Stdout)
		if path := cmd.String("json"); path != "" {
			raw, err := json.MarshalIndent(report, "", " ")
			if err != nil {
				return err
			}
			return os.WriteFile(path, append(raw, '\n'), 0o644)
		}
		return nil
	})
}

func slopes(ctx context.Context, cmd *cli.Command) error {
	var reports []hollow.Report
	for _, path := range cmd.Args().Slice() {
		raw, err := os.ReadFile(path)
		if err != nil {
			return errcode.New(errcode.BadCall, "%v", err)
		}
		var report hollow.Report
		if err := json.Unmarshal(raw, &report); err != nil {
			return errcode.New(errcode.BadCall, "%s: %v", path, err)
		}
		reports = append(reports, report)
	}
	return hollow.Slopes(os.Stdout, reports, cmd.String("by"), cmd.Float("at"), cmd.StringSlice("only"))
}
