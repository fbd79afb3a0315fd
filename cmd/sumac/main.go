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
		Usage:       "an API gateway whose many nodes act as one",
		Description: "A call that was not done ends with 1, one that can't be read with 2; both name a numbered code and all that is wrong. Codes, settings, events and metrics are listed in the docs folder.",
		Version:     Version,
		Commands: []*cli.Command{
			{Name: "node", Usage: "run a node", Flags: settingsFlags(), Action: runNode,
				Description: "Runs until SIGTERM or SIGINT, which stop it as planned: what is under way is finished, its parts are handed over. SIGHUP, or a change of the file, has the seeds read again. What is wrong with the settings is named at once, and nothing runs. Settings come from the file, then from SUMAC_ variables (SUMAC_PROXY_ADDRESS for proxy.address), then from --set."},
			{Name: "check", Usage: "check a node's settings, the platform's settings file, or a change set", Action: runCheck,
				Flags:       append(settingsFlags(), platform.SettingsFlag(), &cli.StringFlag{Name: "change", Usage: "`FILE` of a change set (YAML or JSON)"}, apiFlag(false), objectsFlag()),
				Description: "One thing at a time: --props and --set, as the command node takes them; --settings, the file that the command platform runs on, whose settings are printed; or --change, laid over the configuration of the fleet at --api, or over none. Nothing is changed. Every fault is named, and there being one ends it with 2."},
			{Name: "submit", Usage: "submit a change set", ArgsUsage: "FILE", Action: runSubmit,
				Flags:       []cli.Flag{apiFlag(true), objectsFlag(), &cli.StringFlag{Name: "id", Usage: "`ID` of the change set, if the file has none; random without"}, &cli.Uint64Flag{Name: "base", Usage: "the `EPOCH` last seen, if the file names none"}, &cli.BoolFlag{Name: "amend", Usage: "take the epoch in force as the one last seen"}},
				Description: "All of the set is in force when this ends with 0, and nothing of it if it is refused. If the outcome is unknown, ask by its id, which is then told."},
			{Name: "ask", Usage: "ask what became of a change set", ArgsUsage: "ID", Flags: []cli.Flag{apiFlag(true)}, Action: runAsk,
				Description: "Prints the epoch in which it was accepted; ends with 1 if no set of that id was, which is final for one sent before."},
			{Name: "epoch", Usage: "print the epoch in force", Flags: []cli.Flag{apiFlag(true)}, Action: runEpoch,
				Description: "The whole epoch as JSON, confirmed by a majority since the call: number, configuration, targets."},
			{Name: "shell", Usage: "query the fleet's state", ArgsUsage: "[QUERY [WORD...]]", Flags: []cli.Flag{apiFlag(true)}, Action: runShell,
				Description: "Answers one query, or those on standard input, as the node at --api sees things. The queries are:\n\n" + strings.TrimSpace(shellHelp)},
			platform.Command(),
			{Name: "judge", Usage: "replay a recorded history through the checkers", ArgsUsage: "FILE", Action: runJudge,
				Description: "The file is one that harness run --history wrote. Prints the verdict of each rule; ends with 2 if one is broken or can't be judged."},
		},
	})
}

func settingsFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "props", Usage: "`FILE` of settings (YAML or JSON)"},
		&cli.StringSliceFlag{Name: "set", Usage: "one setting, `KEY=VALUE`; may be given often"},
	}
}

func apiFlag(required bool) cli.Flag {
	return &cli.StringFlag{Name: "api", Usage: "API `ADDRESS` of any node", Sources: cli.EnvVars("SUMAC_API"), Required: required}
}

func objectsFlag() cli.Flag {
	return &cli.BoolFlag{Name: "objects", Usage: "the file holds Kubernetes-style objects (HTTPRoute)"}
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
