// Package commandline makes the commands of the project's programs strict: unknown commands,
// flags and arguments, unreadable values and missing flags are rejected with a numbered error
// that names the help to look at, and nothing is run. A call that can't be read ends with exit
// code 2, one that was not done with 1.
package commandline

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
)

// Strict makes a program and all its commands strict, and returns it.
func Strict(root *cli.Command) *cli.Command {
	root.DisableSliceFlagSeparator = true
	root.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	root.OnUsageError = usageError
	root.Action = func(_ context.Context, cmd *cli.Command) error {
		if cmd.Args().Present() {
			return errcode.New(errcode.InvalidCall, "no command %q; see %s --help", cmd.Args().First(), cmd.FullName())
		}
		return cli.ShowRootCommandHelp(cmd)
	}
	for _, cmd := range root.Commands {
		cmd.DisableSliceFlagSeparator = true
		cmd.OnUsageError = usageError
		action := cmd.Action
		cmd.Action = func(ctx context.Context, cmd *cli.Command) error {
			if err := checkArguments(cmd); err != nil {
				return err
			}
			return action(ctx, cmd)
		}
	}
	return root
}

func usageError(_ context.Context, cmd *cli.Command, err error, _ bool) error {
	return errcode.New(errcode.InvalidCall, "%v; see %s --help", err, cmd.FullName())
}

// checkArguments holds the arguments against what the command's help says of them: none,
// NAME for just one, NAME... for one at least, and anything in brackets.
func checkArguments(cmd *cli.Command) error {
	n, says := cmd.Args().Len(), cmd.ArgsUsage
	isEnough, need := true, ""
	switch {
	case says == "":
		isEnough, need = n == 0, "it takes no argument"
	case strings.HasPrefix(says, "["):
	case strings.HasSuffix(says, "..."):
		isEnough, need = n > 0, "it takes "+says
	default:
		isEnough, need = n == 1, "it takes one "+says
	}
	if !isEnough {
		given := ""
		if n > 0 {
			given = fmt.Sprintf(", not %s", strings.Join(cmd.Args().Slice(), " "))
		}
		return errcode.New(errcode.InvalidCall, "%s%s; see %s --help", need, given, cmd.FullName())
	}
	return nil
}

// ExitCode is 1 for what the command did not do, 2 for what can't be read.
func ExitCode(err error) int {
	var unknown cli.ExitCoder // a help topic that is not there
	if errors.As(err, &unknown) {
		return 2
	}
	switch errcode.From(err).Code.Number {
	case errcode.InvalidSettings.Number, errcode.InvalidCall.Number, errcode.InvalidChange.Number:
		return 2
	}
	return 1
}

// Describe is a problem as an operator reads it: its number, its text, and a line
// for each path.
func Describe(err error) string {
	p := errcode.From(err)
	if p.Code.Number == errcode.Internal.Number {
		return err.Error()
	}
	text := fmt.Sprintf("%d %s", p.Code.Number, p.Code.Text)
	if p.Note != "" {
		text += ": " + p.Note
	}
	for _, path := range p.Paths {
		text += "\n  " + path
	}
	return text
}

// WriteHelp writes the help of a program and of all its commands that are not hidden.
func WriteHelp(app func() *cli.Command, out io.Writer) error {
	show := func(words ...string) error {
		root := app()
		root.Writer = out
		fmt.Fprintf(out, "$ %s\n", strings.Join(append([]string{root.Name}, append(words, "--help")...), " "))
		err := root.Run(context.Background(), append([]string{root.Name}, append(words, "--help")...))
		fmt.Fprintln(out)
		return err
	}
	if err := show(); err != nil {
		return err
	}
	for _, cmd := range app().Commands {
		if cmd.Hidden {
			continue
		}
		if err := show(cmd.Name); err != nil {
			return err
		}
	}
	return nil
}
