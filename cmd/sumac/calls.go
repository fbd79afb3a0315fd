// The operator's commands: each talks to any node over the API, and ends with a
// numbered code and a non-zero exit when it did not do what it was asked.
package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"
	"time"

	koanfjson "github.com/knadh/koanf/parsers/json"
	"github.com/knadh/koanf/parsers/yaml"
	"github.com/knadh/koanf/providers/file"
	"github.com/knadh/koanf/v2"
	"github.com/urfave/cli/v3"

	"github.com/sumactrestle/sumactrestle/internal/api"
	"github.com/sumactrestle/sumactrestle/internal/checker"
	"github.com/sumactrestle/sumactrestle/internal/commandline"
	"github.com/sumactrestle/sumactrestle/internal/controlplane"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/gatewayapi"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
	"github.com/sumactrestle/sumactrestle/platform"
)

func client(cmd *cli.Command) (*api.Client, error) {
	if cmd.String("api") == "" {
		return nil, errcode.New(errcode.InvalidCall, "--api names no address; see %s --help", cmd.FullName())
	}
	c, err := api.NewClient("http://" + cmd.String("api"))
	if err != nil {
		return nil, errcode.New(errcode.InvalidCall, "--api: %v", err)
	}
	return c, nil
}

// clear turns a refused call back into its problem.
func clear(err error) error {
	var p *api.ProblemStatusCodeWithHeaders
	if errors.As(err, &p) {
		code, ok := errcode.Codes[p.Response.Code]
		if !ok {
			code = errcode.Internal
		}
		return &errcode.Error{Code: code, Note: p.Response.Note.Or(""), Paths: p.Response.Paths}
	}
	if err != nil {
		return errcode.New(errcode.Unreachable, "%v", err)
	}
	return nil
}

// readChange takes a change set from YAML or JSON, by koanf, strictly.
func readChange(path string, isObjects bool) (*api.Change, error) {
	if isObjects {
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

// readObjects takes a change set from Kubernetes-style objects.
func readObjects(path string) (*api.Change, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, errcode.New(errcode.InvalidChange, "%v", err)
	}
	set, err := gatewayapi.Read(raw)
	if err != nil {
		return nil, err
	}
	change := &api.Change{}
	return change, recast(set, change)
}

func runCheck(ctx context.Context, cmd *cli.Command) error {
	change, settings := cmd.String("change"), cmd.String("settings")
	isProps := cmd.IsSet("props") || cmd.IsSet("set")
	if change != "" && settings != "" || isProps && change+settings != "" {
		return errcode.New(errcode.InvalidCall, "--change, --settings and --props with --set are checked one at a time; see sumac check --help")
	}
	if change == "" && cmd.Bool("objects") {
		return errcode.New(errcode.InvalidCall, "--objects is of --change, which is missing; see sumac check --help")
	}
	switch {
	case change != "":
		return checkChange(ctx, cmd, change)
	case settings != "":
		return platform.Check(settings, cmd.Root().Writer)
	}
	p, err := readProps(cmd)
	if err != nil {
		return err
	}
	fmt.Fprintf(cmd.Root().Writer, "%s: the settings are in order\n", p.Name)
	return nil
}

// checkChange lays a change set over the fleet's configuration, or over none.
func checkChange(ctx context.Context, cmd *cli.Command, path string) error {
	change, err := readChange(path, cmd.Bool("objects"))
	if err != nil {
		return err
	}
	if change.ID == "" {
		change.ID = "check"
	}
	var set rpc.ChangeSet
	if err := recast(change, &set); err != nil {
		return err
	}
	var config rpc.Configuration
	if cmd.String("api") != "" {
		c, err := client(cmd)
		if err != nil {
			return err
		}
		view, err := c.Epoch(ctx)
		if err != nil {
			return clear(err)
		}
		if err := recast(view.Config, &config); err != nil {
			return err
		}
	}
	next, paths := controlplane.MergeChange(config, &set)
	if len(paths) > 0 {
		return errcode.NewPaths(errcode.InvalidChange, paths)
	}
	fmt.Printf("%s: the change set is in order; with it there are %d mappings and %d services\n", path, len(next.Routes), len(next.Services))
	return nil
}

func recast(from, into any) error {
	raw, err := json.Marshal(from)
	if err == nil {
		err = json.Unmarshal(raw, into)
	}
	if err != nil {
		return errcode.New(errcode.InvalidCall, "%v", err)
	}
	return nil
}

func runSubmit(ctx context.Context, cmd *cli.Command) error {
	change, err := readChange(cmd.Args().First(), cmd.Bool("objects"))
	if err != nil {
		return err
	}
	c, err := client(cmd)
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
		view, err := c.Epoch(ctx)
		if err != nil {
			return clear(err)
		}
		if cmd.Bool("amend") {
			change.Base = view.Epoch
		}
		if cmd.Bool("objects") {
			leaveKnown(change, view)
		}
	}
	limited, end := context.WithTimeout(ctx, 10*time.Second)
	defer end()
	receipt, err := c.Submit(limited, change)
	if err != nil {
		problem := clear(err)
		if p := errcode.From(problem); p.Code.Number == errcode.ChangeUnknown.Number || p.Code.Number == errcode.Unreachable.Number {
			fmt.Fprintf(os.Stderr, "sumac: ask with: sumac ask %s\n", change.ID)
		}
		return problem
	}
	fmt.Printf("%s %s in epoch %d\n", receipt.ID, receipt.State, receipt.Epoch)
	return nil
}

// leaveKnown takes services out of a change set that are there already: objects
// only name them, and must not put them back without their key.
func leaveKnown(change *api.Change, view *api.EpochView) {
	known := map[string]bool{}
	for _, s := range view.Config.Services {
		known[s.Name] = true
	}
	var fresh []api.Service
	for _, s := range change.Put.Value.Services {
		if !known[s.Name] {
			fresh = append(fresh, s)
		}
	}
	change.Put.Value.Services = fresh
}

func runAsk(ctx context.Context, cmd *cli.Command) error {
	c, err := client(cmd)
	if err != nil {
		return err
	}
	receipt, err := c.AskChange(ctx, api.AskChangeParams{ID: cmd.Args().First()})
	if err != nil {
		return clear(err)
	}
	fmt.Printf("%s %s in epoch %d\n", receipt.ID, receipt.State, receipt.Epoch)
	return nil
}

func runEpoch(ctx context.Context, cmd *cli.Command) error {
	c, err := client(cmd)
	if err != nil {
		return err
	}
	view, err := c.Epoch(ctx)
	if err != nil {
		return clear(err)
	}
	raw, err := json.MarshalIndent(view, "", "  ")
	if err != nil {
		return errcode.New(errcode.Internal, "%v", err)
	}
	fmt.Println(string(raw))
	return nil
}

// runShell answers one query, or reads queries from standard input.
func runShell(ctx context.Context, cmd *cli.Command) error {
	c, err := client(cmd)
	if err != nil {
		return err
	}
	if cmd.Args().Len() > 0 {
		return query(ctx, c, cmd.Args().Slice(), os.Stdout)
	}
	lines := bufio.NewScanner(os.Stdin)
	var last error
	for fmt.Print("sumac> "); lines.Scan(); fmt.Print("sumac> ") {
		words := strings.Fields(lines.Text())
		if len(words) == 0 {
			continue
		}
		if words[0] == "quit" || words[0] == "exit" {
			break
		}
		if last = query(ctx, c, words, os.Stdout); last != nil {
			fmt.Fprintln(os.Stderr, commandline.Describe(last))
		}
	}
	return last
}

const shellHelp = `members   who is there, as this node sees it
parts     the replicated parts: owner, term, commit, age of the confirmation
targets   the servers this node hears, and whether each is in
ages      how fresh this proxy's plan is (a node with a gate)
epoch     the epoch in force: number, services and their targets
counts    counters      traffic   messages and bytes to other processes, by kind
events    newest log events       node      this node
latency   how long requests, calls, syncs took: median, 99 and 99.9 of a hundred, most
A query may be followed by words; only rows holding all of them are shown.
`

func query(ctx context.Context, c *api.Client, words []string, out io.Writer) error {
	limited, end := context.WithTimeout(ctx, 5*time.Second)
	defer end()
	table := tabwriter.NewWriter(out, 2, 8, 2, ' ', 0)
	defer table.Flush()
	switch words[0] {
	case "help":
		fmt.Fprint(out, shellHelp)
		return nil
	case "epoch":
		view, err := c.Epoch(limited)
		if err != nil {
			return clear(err)
		}
		fmt.Fprintf(table, "epoch\t%d\tchanged in\t%d\tmappings\t%d\n", view.Epoch, view.Changed, len(view.Config.Mappings))
		for service, targets := range view.Targets {
			for _, t := range targets {
				fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\n", service, t.Instance, t.Address, t.Zone, t.Weight)
			}
		}
		return nil
	}
	what := api.ShowWhat(words[0])
	if what.Validate() != nil {
		return errcode.New(errcode.InvalidCall, "no query %q; try help", words[0])
	}
	rows, err := c.Show(limited, api.ShowParams{What: what})
	if err != nil {
		return clear(err)
	}
	fmt.Fprintln(table, strings.Join(rows.Columns, "\t"))
	for _, row := range rows.Rows {
		line := strings.Join(row, "\t")
		isShown := true
		for _, word := range words[1:] {
			isShown = isShown && strings.Contains(line, word)
		}
		if isShown {
			fmt.Fprintln(table, line)
		}
	}
	return nil
}

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
