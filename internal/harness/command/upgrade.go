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
	return &cli.Command{Name: "upgrade", Usage: "upgrade a fleet from an older build under load, one node at a time",
		Description: "Starts a fleet of the older build, generates load, and upgrades its nodes one at a time, core nodes first, while change sets are submitted. Exits with 1 if the history breaks a rule, a node was not upgraded in time, or a node rejected messages or stored data of the other build. tools/old-sumac.sh builds sumac from a given commit.",
		Flags: []cli.Flag{folder,
			&cli.StringFlag{Name: "from", Usage: "sumac `PROGRAM` of the older build", Required: true},
			&cli.StringFlag{Name: "to", Value: "bin/sumac", Usage: "sumac `PROGRAM` to upgrade to"},
			&cli.StringFlag{Name: "shape", Value: "small", Usage: "shape of the deployment: quoteline, municipality or small"},
			&cli.FloatFlag{Name: "factor", Value: 1, Usage: "factor by which the shape's rates are multiplied"},
			&cli.IntFlag{Name: "seconds", Value: 40, Usage: "duration of the load in seconds, in which all nodes must be upgraded"},
		}, Action: upgrade}
}

func upgrade(ctx context.Context, cmd *cli.Command) error {
	shape, err := harness.FindShape(cmd.String("shape"))
	if err != nil {
		return err
	}
	if f := cmd.Float("factor"); f <= 0 || f > 10 || cmd.Int("seconds") < 1 || cmd.Int("seconds") > 600 {
		return errcode.New(errcode.InvalidCall, "--factor must be above 0 and at most 10, and --seconds 1 to 600")
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
