package command

import (
	"context"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/harness"
)

// upgradeCommand returns the command that upgrades a fleet from an older build under load.
func upgradeCommand(folder cli.Flag) *cli.Command {
	return &cli.Command{Name: "upgrade", Usage: "replace the nodes of an older build one at a time, under load",
		Description: "Starts a fleet of the older build, puts load on it, and replaces its nodes one at a time, core nodes first, while change sets are submitted. Ends with 1 if the history breaks a rule, a node was not replaced in time, or one build refused what the other sent or wrote. tools/old-sumac.sh builds sumac of a commit.",
		Flags: []cli.Flag{folder,
			&cli.StringFlag{Name: "from", Usage: "the older `PROGRAM`", Required: true},
			&cli.StringFlag{Name: "to", Value: "bin/sumac", Usage: "the `PROGRAM` that takes its place"},
			&cli.StringFlag{Name: "shape", Value: "small", Usage: "quoteline, municipality or small"},
			&cli.FloatFlag{Name: "factor", Value: 1, Usage: "the rates are multiplied by this"},
			&cli.IntFlag{Name: "seconds", Value: 40, Usage: "length of the load; all nodes must be replaced in it"},
		}, Action: upgrade}
}

func upgrade(ctx context.Context, cmd *cli.Command) error {
	shape, err := harness.FindShape(cmd.String("shape"))
	if err != nil {
		return err
	}
	if f := cmd.Float("factor"); f <= 0 || f > 10 || cmd.Int("seconds") < 1 || cmd.Int("seconds") > 600 {
		return errcode.New(errcode.InvalidCall, "the factor must be above 0 and at most 10, the seconds 1 to 600")
	}
	return inFolder(cmd, func(folder string) error {
		return harness.Upgrade(ctx, harness.Options{
			Binary:      cmd.String("from"),
			OtherBinary: cmd.String("to"),
			Folder:      folder,
			Shape:       shape,
			Output:      os.Stdout,
			RateFactor:  cmd.Float("factor"),
			Seconds:     cmd.Int("seconds"),
			RetryShare:  -1,
			Seed:        1,
		})
	})
}
