// Command schemagen turns the schemas of this project into Go code and into the tables of
// the docs: messages between processes, settings, result codes, log events, metrics.
// It is run by `go generate ./...`; the tests check that its output is current.
package main

import (
	"fmt"
	"go/format"
	"os"
	"path/filepath"
	"strings"

	"go.yaml.in/yaml/v3"
)

func main() {
	root := "."
	if len(os.Args) > 1 {
		root = os.Args[1]
	}
	out := root
	if len(os.Args) > 2 {
		out = os.Args[2]
	}
	var messages []message
	var settings []setting
	var codes []code
	var events []event
	var metrics []metric
	read(root, "wire.yaml", &messages)
	read(root, "config.yaml", &settings)
	read(root, "codes.yaml", &codes)
	read(root, "events.yaml", &events)
	read(root, "metrics.yaml", &metrics)
	write(out, "internal/rpc/messages_gen.go", generateMessages(messages))
	write(out, "internal/config/settings_gen.go", generateSettings(settings))
	write(out, "internal/errcode/codes_gen.go", generateCodes(codes))
	write(out, "internal/eventlog/events_gen.go", generateEvents(events))
	write(out, "internal/metrics/metrics_gen.go", generateMetrics(metrics))
	write(out, "docs/settings.md", settingsPage(settings))
	write(out, "docs/codes.md", codesPage(codes))
	write(out, "docs/events.md", eventsPage(events))
	write(out, "docs/metrics.md", metricsPage(metrics))
}

// read decodes a schema; a schema that can't be read ends the program.
func read(root, name string, into any) {
	raw, err := os.ReadFile(filepath.Join(root, "schema", name))
	if err == nil {
		err = yaml.Unmarshal(raw, into)
	}
	if err != nil {
		fail(name, err)
	}
}

// write formats and writes one generated file below root.
func write(root, name string, text string) {
	raw := []byte(text)
	if strings.HasSuffix(name, ".go") {
		var err error
		if raw, err = format.Source(raw); err != nil {
			fail(name, fmt.Errorf("%w in\n%s", err, text))
		}
	}
	path := filepath.Join(root, name)
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		fail(name, err)
	}
	if err := os.WriteFile(path, raw, 0o644); err != nil {
		fail(name, err)
	}
}

// fail ends the program with an error about one file.
func fail(name string, err error) {
	fmt.Fprintln(os.Stderr, "schemagen:", name+":", err)
	os.Exit(1)
}
