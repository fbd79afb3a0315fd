package command

import (
	"bytes"
	"context"
	"os"
	"path/filepath"

	"github.com/urfave/cli/v3"

	"github.com/sumactrestle/sumactrestle/internal/checker"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/report"
)

func reportCommand() *cli.Command {
	return &cli.Command{Name: "report", Usage: "write an HTML page with plots of recorded histories", ArgsUsage: "FILE...",
		Description: "Each FILE is a history written by harness run or harness soak with --history. The page shows the outcomes of requests over time with the injected faults marked, latency quantiles, bytes sent by kind of message, and the verdict of the checkers. Exits with 2 if a FILE is not a history or has no requests.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "out", Value: "report.html", Usage: "HTML `FILE` to write"},
			&cli.StringFlag{Name: "title", Value: "sumactrestle: a report", Usage: "`TITLE` of the page"},
		}, Action: writeReport}
}

func writeReport(ctx context.Context, cmd *cli.Command) error {
	var sections []report.Section
	for _, path := range cmd.Args().Slice() {
		records, err := checker.ReadHistory(path)
		if err != nil {
			return errcode.New(errcode.InvalidCall, "%s: not a history: %v", path, err)
		}
		section, err := report.History(filepath.Base(path), records)
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
		return errcode.New(errcode.InvalidCall, "--out: %v", err)
	}
	_, err := cmd.Root().Writer.Write([]byte(cmd.String("out") + "\n"))
	return err
}
