package main

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/sumactrestle/sumactrestle/internal/controlplane"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
	"github.com/sumactrestle/sumactrestle/platform"
)

// runCheck checks a node's settings, the platform's settings file or a change set.
func runCheck(ctx context.Context, cmd *cli.Command) error {
	change, settings := cmd.String("change"), cmd.String("settings")
	givesSettings := cmd.IsSet("props") || cmd.IsSet("set")
	if change != "" && settings != "" || givesSettings && change+settings != "" {
		return errcode.New(errcode.InvalidCall, "--change, --settings and --props with --set are checked one at a time; see sumac check --help")
	}
	if change == "" && cmd.Bool("objects") {
		return errcode.New(errcode.InvalidCall, "--objects requires --change; see sumac check --help")
	}
	switch {
	case change != "":
		return checkChange(ctx, cmd, change)
	case settings != "":
		return platform.Check(settings, cmd.Root().Writer)
	}
	nodeSettings, err := readSettings(cmd)
	if err != nil {
		return err
	}
	fmt.Fprintf(cmd.Root().Writer, "%s: the settings are valid\n", nodeSettings.Name)
	return nil
}

// checkChange checks a change set against the fleet's configuration if --api is given, or else
// against an empty one.
func checkChange(ctx context.Context, cmd *cli.Command, path string) error {
	change, err := readChange(path, cmd.Bool("objects"))
	if err != nil {
		return err
	}
	if change.ID == "" {
		change.ID = "check"
	}
	var changeSet rpc.ChangeSet
	if err := convert(change, &changeSet); err != nil {
		return err
	}
	var config rpc.Configuration
	if cmd.String("api") != "" {
		client, err := newClient(cmd)
		if err != nil {
			return err
		}
		view, err := client.Epoch(ctx)
		if err != nil {
			return fromAPI(err)
		}
		if err := convert(view.Config, &config); err != nil {
			return err
		}
	}
	merged, paths := controlplane.MergeChange(config, &changeSet)
	if len(paths) > 0 {
		return errcode.NewPaths(errcode.InvalidChange, paths)
	}
	fmt.Printf("%s: the change set is valid; with it the configuration has %d mappings and %d services\n", path, len(merged.Routes), len(merged.Services))
	return nil
}
