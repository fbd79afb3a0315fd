package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/sumactrestle/sumactrestle/internal/api"
	"github.com/sumactrestle/sumactrestle/internal/commandline"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
)

// runEpoch prints the epoch in force as JSON.
func runEpoch(ctx context.Context, cmd *cli.Command) error {
	client, err := newClient(cmd)
	if err != nil {
		return err
	}
	view, err := client.Epoch(ctx)
	if err != nil {
		return fromAPI(err)
	}
	raw, err := json.MarshalIndent(view, "", "  ")
	if err != nil {
		return errcode.New(errcode.Internal, "%v", err)
	}
	fmt.Println(string(raw))
	return nil
}

// runShell runs the query given as arguments, or else queries read from standard input.
func runShell(ctx context.Context, cmd *cli.Command) error {
	client, err := newClient(cmd)
	if err != nil {
		return err
	}
	if cmd.Args().Len() > 0 {
		return query(ctx, client, cmd.Args().Slice(), os.Stdout)
	}
	input := bufio.NewScanner(os.Stdin)
	var lastErr error
	for fmt.Print("sumac> "); input.Scan(); fmt.Print("sumac> ") {
		words := strings.Fields(input.Text())
		if len(words) == 0 {
			continue
		}
		if words[0] == "quit" || words[0] == "exit" {
			break
		}
		if lastErr = query(ctx, client, words, os.Stdout); lastErr != nil {
			fmt.Fprintln(os.Stderr, commandline.Describe(lastErr))
		}
	}
	return lastErr
}

// shellHelp is the output of the query help.
const shellHelp = `members   members of the fleet: state, role, zone, addresses
parts     shard replicas of this node: leader, term, commit index, time since confirmation
targets   targets whose heartbeats this node receives, and their states
ages      epoch of this proxy, and time since it was confirmed (proxies only)
epoch     the epoch in force: number, services and their targets
counts    counters: events, request outcomes, requests in flight, disk syncs
traffic   messages and bytes sent to other processes, by kind
events    newest log events
node      name, zone, roles and readiness of this node
latency   durations of requests, calls and disk syncs: median, percentiles 99 and 99.9, maximum
If words follow a query, only rows that contain all of them are shown.
`

// query runs one query. The first word is its name; only rows that contain all other words are
// printed.
func query(ctx context.Context, c *api.Client, words []string, out io.Writer) error {
	queryCtx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	table := tabwriter.NewWriter(out, 2, 8, 2, ' ', 0)
	defer table.Flush()
	switch words[0] {
	case "help":
		fmt.Fprint(out, shellHelp)
		return nil
	case "epoch":
		view, err := c.Epoch(queryCtx)
		if err != nil {
			return fromAPI(err)
		}
		fmt.Fprintf(table, "epoch\t%d\tchanged in\t%d\tmappings\t%d\n", view.Epoch, view.Changed, len(view.Config.Mappings))
		for service, targets := range view.Targets {
			for _, t := range targets {
				fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\n", service, t.Instance, t.Address, t.Zone, t.Weight)
			}
		}
		return nil
	}
	queryName := api.ShowWhat(words[0])
	if queryName.Validate() != nil {
		return errcode.New(errcode.InvalidCall, "unknown query %q; try help", words[0])
	}
	rows, err := c.Show(queryCtx, api.ShowParams{What: queryName})
	if err != nil {
		return fromAPI(err)
	}
	fmt.Fprintln(table, strings.Join(rows.Columns, "\t"))
	for _, row := range rows.Rows {
		line := strings.Join(row, "\t")
		matches := true
		for _, word := range words[1:] {
			matches = matches && strings.Contains(line, word)
		}
		if matches {
			fmt.Fprintln(table, line)
		}
	}
	return nil
}
