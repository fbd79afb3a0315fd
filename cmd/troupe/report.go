// The command that makes a page of what was recorded.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/urfave/cli/v3"

	"github.com/sumactrestle/sumactrestle/internal/checker"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/hollow"
	"github.com/sumactrestle/sumactrestle/internal/report"
)

func reportCommand() *cli.Command {
	return &cli.Command{Name: "report", Usage: "make a page with plots of recorded histories and hollow runs", ArgsUsage: "FILE...",
		Description: "Each file is a history (troupe run --history) or the figures of a hollow run (troupe hollow --json). Of a history it shows what was served over time with the faults marked, latency quantiles, bytes by kind of message, and the verdict; of hollow runs the figures of each role over one axis, with the lines through them. The page is one HTML file.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "out", Value: "report.html", Usage: "`FILE` to write"},
			&cli.StringFlag{Name: "title", Value: "sumactrestle: a report", Usage: "`TITLE` of the page"},
			&cli.StringFlag{Name: "by", Value: "gates", Usage: "the `AXIS` of hollow runs: gates, targets, services, routes or beats"},
			&cli.FloatFlag{Name: "at", Value: 460, Usage: "the `SIZE` that the lines are drawn out to"},
		}, Action: writeReport}
}

func writeReport(ctx context.Context, cmd *cli.Command) error {
	var sections []report.Section
	var runs []hollow.Report
	for _, path := range cmd.Args().Slice() {
		raw, err := os.ReadFile(path)
		if err != nil {
			return errcode.New(errcode.BadCall, "%v", err)
		}
		var run hollow.Report
		if json.Unmarshal(raw, &run) == nil && run.Figures != nil {
			runs = append(runs, run)
			continue
		}
		records, err := checker.ReadHistory(path)
		if err != nil {
			return errcode.New(errcode.BadCall, "%s: neither the figures of a hollow run nor a history: %v", path, err)
		}
		section, err := report.History(filepath.Base(path), records)
		if err != nil {
			return err
		}
		sections = append(sections, section)
	}
	if len(runs) > 0 {
		section, err := report.Slopes(runs, cmd.String("by"), cmd.Float("at"))
		if err != nil {
			return err
		}
		sections = append(sections, section)
	}
	var page bytes.Buffer
	if err := report.Write(&page, cmd.String("title"), sections); err != nil {
		return errcode.New(errcode.Internal, "%v", err)
	}
	if err := os.WriteFile(cmd.String("out"), page.Bytes(), 0o644); err != nil {
		return errcode.New(errcode.BadCall, "--out: %v", err)
	}
	_, err := cmd.Root().Writer.Write([]byte(cmd.String("out") + "\n"))
	return err
}
