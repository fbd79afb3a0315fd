// Command sumac runs a node of the API gateway. Its other commands check settings, submit change
// sets and query the state of the fleet.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/sumactrestle/sumactrestle/internal/commandline"
	"github.com/sumactrestle/sumactrestle/internal/config"
	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/eventlog"
	"github.com/sumactrestle/sumactrestle/internal/node"
	"github.com/sumactrestle/sumactrestle/platform"
)

// Version is set at link time in release builds.
var Version = "0.1.0-dev"

func main() {
	if err := app().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "sumac:", commandline.Describe(err))
		os.Exit(commandline.ExitCode(err))
	}
}

func app() *cli.Command {
	return commandline.Strict(&cli.Command{
		Name:        "sumac",
		Usage:       "run and manage a distributed API gateway",
		Description: "Exits with 2 if the command line, settings or input are invalid, and with 1 if the command fails otherwise. Errors state a numbered code and list every fault found. Codes, settings, events and metrics are listed in the docs folder.",
		Version:     Version,
		Commands: []*cli.Command{
			{Name: "node", Usage: "run a node", Flags: settingsFlags(), Action: runNode,
				Description: "Runs a node until SIGTERM or SIGINT, which stop it gracefully: it transfers the leadership of its shards and finishes the requests in flight. SIGHUP, or a change of the settings file, reloads the seeds. If the settings are invalid, lists every fault and exits with 2 without starting the node. Values from the file are overridden by environment variables (SUMAC_PROXY_ADDRESS for proxy.address), and these by --set."},
			{Name: "check", Usage: "check a node's settings, the platform's settings file, or a change set", Action: runCheck,
				Flags:       append(settingsFlags(), platform.SettingsFlag(), &cli.StringFlag{Name: "change", Usage: "change set `FILE` (YAML or JSON)"}, apiFlag(false), objectsFlag()),
				Description: "Checks one kind of input and changes nothing. --props and --set are settings of a node, as for sumac node. --settings is the file for sumac platform; the node settings that follow from it are printed. --change is a change set, which is merged into the configuration of the fleet at --api, or into an empty one without --api. If the input is invalid, lists every fault and exits with 2."},
			{Name: "submit", Usage: "submit a change set", ArgsUsage: "FILE", Action: runSubmit,
				Flags:       []cli.Flag{apiFlag(true), objectsFlag(), &cli.StringFlag{Name: "id", Usage: "`ID` of the change set, overriding the file's; random if neither is given"}, &cli.Uint64Flag{Name: "base", Usage: "`EPOCH` that the change set is based on, overriding the file's"}, &cli.BoolFlag{Name: "amend", Usage: "base the change set on the epoch in force"}},
				Description: "The change set is accepted or refused as a whole. Exits with 0 once it is in force, with 2 if it is invalid, and with 1 if it is refused for another reason or the outcome is unknown. If the outcome is unknown, prints the sumac ask command that queries it."},
			{Name: "ask", Usage: "query the outcome of a change set", ArgsUsage: "ID", Flags: []cli.Flag{apiFlag(true)}, Action: runAsk,
				Description: "Prints the epoch in which the change set was accepted. Exits with 1 and code 2004 if no change set with this ID was accepted; one that was submitted earlier will then never be accepted."},
			{Name: "epoch", Usage: "print the epoch in force", Flags: []cli.Flag{apiFlag(true)}, Action: runEpoch,
				Description: "Prints the whole epoch as JSON: its number, configuration and targets. A majority confirms after the call starts that the epoch is in force."},
			{Name: "shell", Usage: "query the state of the fleet", ArgsUsage: "[QUERY [WORD...]]", Flags: []cli.Flag{apiFlag(true)}, Action: runShell,
				Description: "Runs the query given as an argument, or else the queries read from standard input. The results are the view of the node at --api. The queries are:\n\n" + strings.TrimSpace(shellHelp)},
			platform.Command(),
			{Name: "judge", Usage: "check a recorded history against the rules", ArgsUsage: "FILE", Action: runJudge,
				Description: "FILE is a history written by harness run or harness soak with --history. Prints the number of records of each kind and the violations of each rule. Exits with 2 if a rule is broken or the history is incomplete or can't be read."},
		},
	})
}

func settingsFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "props", Usage: "settings `FILE` (YAML or JSON)"},
		&cli.StringSliceFlag{Name: "set", Usage: "one setting, `KEY=VALUE`; may be repeated"},
	}
}

func apiFlag(required bool) cli.Flag {
	return &cli.StringFlag{Name: "api", Usage: "API `ADDRESS` of any node", Sources: cli.EnvVars("SUMAC_API"), Required: required}
}

func objectsFlag() cli.Flag {
	return &cli.BoolFlag{Name: "objects", Usage: "the file contains Kubernetes-style objects (HTTPRoute)"}
}

func readSettings(cmd *cli.Command) (*config.Settings, error) {
	flags := map[string]string{}
	for _, pair := range cmd.StringSlice("set") {
		key, value, ok := strings.Cut(pair, "=")
		if !ok {
			return nil, errcode.New(errcode.InvalidSettings, "--set %q is not KEY=VALUE", pair)
		}
		flags[key] = value
	}
	return config.Load(cmd.String("props"), flags)
}

// runNode runs a node until a signal stops it or its storage fails. It reloads the seeds on SIGHUP
// and when the settings file changes.
func runNode(ctx context.Context, cmd *cli.Command) error {
	signals := node.NotifySignals()
	settings, err := readSettings(cmd)
	if err != nil {
		return err
	}
	var logOutput io.Writer = os.Stderr
	if settings.LogFile != "" {
		file, err := os.OpenFile(settings.LogFile, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
		if err != nil {
			return errcode.New(errcode.InvalidSettings, "log.file: %v", err)
		}
		defer file.Close()
		logOutput = file
	}
	if settings.DataFolder != "" {
		if err := os.MkdirAll(settings.DataFolder, 0o755); err != nil {
			return errcode.New(errcode.InvalidSettings, "data.folder: %v", err)
		}
	}
	events := eventlog.NewAsync(logOutput, settings.LogLevel, settings.Name)
	defer events.Close(node.LogFlushTime)
	env := environment.New(ctx, settings, events, environment.NewHost(settings.PeerAddress))
	return node.Run(env, node.RunConfig{
		Signals:      signals,
		SettingsFile: cmd.String("props"),
		Reload: func(n *node.Node) {
			changed, err := readSettings(cmd)
			if err != nil {
				n.RejectSettings(err)
				return
			}
			n.ApplySettings(changed)
		},
	})
}
