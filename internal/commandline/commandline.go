// Package commandline adds strict argument checking to the project's programs. Unknown commands,
// flags and arguments, invalid values and missing flags are rejected before the command runs,
// with an error code and a reference to the help. The exit code is 2 for invalid usage and 1 for
// a command that failed.
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

// Strict adds the checks to a program and all its commands, and returns it.
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

// checkArguments checks the number of arguments against the command's ArgsUsage: an empty one
// allows none, NAME exactly one, NAME... at least one, and one in brackets any number.
func checkArguments(cmd *cli.Command) error {
	count, usage := cmd.Args().Len(), cmd.ArgsUsage
	isValid, expected := true, ""
	switch {
	case usage == "":
		isValid, expected = count == 0, "it takes no argument"
	case strings.HasPrefix(usage, "["):
	case strings.HasSuffix(usage, "..."):
		isValid, expected = count > 0, "it takes "+usage
	default:
		isValid, expected = count == 1, "it takes one "+usage
	}
	if !isValid {
		given := ""
		if count > 0 {
			given = fmt.Sprintf(", not %s", strings.Join(cmd.Args().Slice(), " "))
		}
		return errcode.New(errcode.InvalidCall, "%s%s; see %s --help", expected, given, cmd.FullName())
	}
	return nil
}

// ExitCode returns 2 if err reports invalid usage, settings or changes, and 1 for any other error.
func ExitCode(err error) int {
	var exitCoder cli.ExitCoder // returned for an unknown help topic
	if errors.As(err, &exitCoder) {
		return 2
	}
	switch errcode.From(err).Code.Number {
	case errcode.InvalidSettings.Number, errcode.InvalidCall.Number, errcode.InvalidChange.Number:
		return 2
	}
	return 1
}

// Describe formats an error for an operator: the code's number and text, the note, and one line
// for each path.
func Describe(err error) string {
	problem := errcode.From(err)
	if problem.Code.Number == errcode.Internal.Number {
		return err.Error()
	}
	text := fmt.Sprintf("%d %s", problem.Code.Number, problem.Code.Text)
	if problem.Note != "" {
		text += ": " + problem.Note
	}
	for _, path := range problem.Paths {
		text += "\n  " + path
	}
	return text
}

// WriteHelp writes the help texts of a program and of its commands, except hidden ones.
func WriteHelp(app func() *cli.Command, out io.Writer) error {
	writeCommand := func(names ...string) error {
		root := app()
		root.Writer = out
		fmt.Fprintf(out, "$ %s\n", strings.Join(append([]string{root.Name}, append(names, "--help")...), " "))
		err := root.Run(context.Background(), append([]string{root.Name}, append(names, "--help")...))
		fmt.Fprintln(out)
		return err
	}
	if err := writeCommand(); err != nil {
		return err
	}
	for _, cmd := range app().Commands {
		if cmd.Hidden {
			continue
		}
		if err := writeCommand(cmd.Name); err != nil {
			return err
		}
	}
	return nil
}
