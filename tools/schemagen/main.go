// Command schemagen generates Go code and tables in docs from the schemas of messages between
// processes, settings, result codes, log events and metrics. The first argument is the root of
// the repository, by default the working directory; the second is the root of the output, by
// default the same. It is run by `go generate ./schema`; a test checks that the committed output
// is current.
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
	outputRoot := root
	if len(os.Args) > 2 {
		outputRoot = os.Args[2]
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
	write(outputRoot, "internal/rpc/messages_gen.go", generateMessages(messages))
	write(outputRoot, "internal/config/settings_gen.go", generateSettings(settings))
	write(outputRoot, "internal/errcode/codes_gen.go", generateCodes(codes))
	write(outputRoot, "internal/eventlog/events_gen.go", generateEvents(events))
	write(outputRoot, "internal/metrics/metrics_gen.go", generateMetrics(metrics))
	write(outputRoot, "docs/settings.md", settingsPage(settings))
	write(outputRoot, "docs/codes.md", codesPage(codes))
	write(outputRoot, "docs/events.md", eventsPage(events))
	write(outputRoot, "docs/metrics.md", metricsPage(metrics))
}

// read decodes a schema into target. It exits with an error if it can't.
func read(root, name string, target any) {
	raw, err := os.ReadFile(filepath.Join(root, "schema", name))
	if err == nil {
		err = yaml.Unmarshal(raw, target)
	}
	if err != nil {
		fail(name, err)
	}
}

// write writes a generated file below root; Go code is formatted first.
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

// fail prints an error about a file and exits.
func fail(name string, err error) {
	fmt.Fprintln(os.Stderr, "schemagen:", name+":", err)
	os.Exit(1)
}
