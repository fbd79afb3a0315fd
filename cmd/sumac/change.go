package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	koanfjson "github.com/knadh/koanf/parsers/json"
	"github.com/knadh/koanf/parsers/yaml"
	"github.com/knadh/koanf/providers/file"
	"github.com/knadh/koanf/v2"
	"github.com/urfave/cli/v3"

	"github.com/sumactrestle/sumactrestle/internal/api"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/gatewayapi"
	"github.com/sumactrestle/sumactrestle/internal/ids"
)

// readChange reads a change set from a YAML or JSON file, or from Kubernetes-style objects.
// Unknown fields are errors.
func readChange(path string, objects bool) (*api.Change, error) {
	if objects {
		return readObjects(path)
	}
	k := koanf.New("\x00")
	var parser koanf.Parser = yaml.Parser()
	if filepath.Ext(path) == ".json" {
		parser = koanfjson.Parser()
	}
	if err := k.Load(file.Provider(path), parser); err != nil {
		return nil, errcode.New(errcode.InvalidChange, "%s: %v", path, err)
	}
	tree := k.Raw()
	if _, ok := tree["id"]; !ok {
		tree["id"] = ""
	}
	if _, ok := tree["base"]; !ok {
		tree["base"] = 0
	}
	raw, err := json.Marshal(tree)
	if err != nil {
		return nil, errcode.New(errcode.InvalidChange, "%s: %v", path, err)
	}
	change := &api.Change{}
	if err := change.UnmarshalJSON(raw); err != nil {
		return nil, errcode.New(errcode.InvalidChange, "%s: %v", path, err)
	}
	return change, nil
}

// readObjects reads a change set from a file of Kubernetes-style objects.
func readObjects(path string) (*api.Change, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, errcode.New(errcode.InvalidChange, "%v", err)
	}
	changeSet, err := gatewayapi.Read(raw)
	if err != nil {
		return nil, err
	}
	change := &api.Change{}
	return change, convert(changeSet, change)
}

// runSubmit submits a change set and prints the result.
func runSubmit(ctx context.Context, cmd *cli.Command) error {
	change, err := readChange(cmd.Args().First(), cmd.Bool("objects"))
	if err != nil {
		return err
	}
	client, err := newClient(cmd)
	if err != nil {
		return err
	}
	if id := cmd.String("id"); id != "" {
		change.ID = id
	}
	if change.ID == "" {
		change.ID = ids.NewID()
	}
	if cmd.IsSet("base") {
		change.Base = cmd.Uint64("base")
	}
	if cmd.Bool("amend") || cmd.Bool("objects") {
		view, err := client.Epoch(ctx)
		if err != nil {
			return fromAPI(err)
		}
		if cmd.Bool("amend") {
			change.Base = view.Epoch
		}
		if cmd.Bool("objects") {
			dropKnownServices(change, view)
		}
	}
	submitCtx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	result, err := client.Submit(submitCtx, change)
	if err != nil {
		problem := fromAPI(err)
		if errors.Is(problem, errcode.ChangeUnknown) || errors.Is(problem, errcode.Unreachable) {
			fmt.Fprintf(os.Stderr, "sumac: to query the outcome, run: sumac ask %s\n", change.ID)
		}
		return problem
	}
	fmt.Printf("%s %s in epoch %d\n", result.ID, result.State, result.Epoch)
	return nil
}

// dropKnownServices removes from a change set the services that already exist. Objects contain
// only the names of services, so submitting them would overwrite the services' other fields,
// such as the key.
func dropKnownServices(change *api.Change, view *api.EpochView) {
	existing := map[string]bool{}
	for _, s := range view.Config.Services {
		existing[s.Name] = true
	}
	var added []api.Service
	for _, s := range change.Put.Value.Services {
		if !existing[s.Name] {
			added = append(added, s)
		}
	}
	change.Put.Value.Services = added
}

// runAsk prints the result of a change set submitted earlier.
func runAsk(ctx context.Context, cmd *cli.Command) error {
	client, err := newClient(cmd)
	if err != nil {
		return err
	}
	result, err := client.AskChange(ctx, api.AskChangeParams{ID: cmd.Args().First()})
	if err != nil {
		return fromAPI(err)
	}
	fmt.Printf("%s %s in epoch %d\n", result.ID, result.State, result.Epoch)
	return nil
}
