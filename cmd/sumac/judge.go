package main

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/sumactrestle/sumactrestle/internal/checker"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
)

// runJudge checks a recorded history against the rules of the checkers and prints the verdict.
func runJudge(ctx context.Context, cmd *cli.Command) error {
	records, err := checker.ReadHistory(cmd.Args().First())
	if err != nil {
		return err
	}
	verdict := checker.Check(records)
	fmt.Print(verdict)
	if !verdict.IsValid() {
		return errcode.New(errcode.InvalidCall, "the history breaks a rule")
	}
	return nil
}
