package main

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sumactrestle/sumactrestle/internal/commandline"
	"github.com/sumactrestle/sumactrestle/platform"
)

func run(args ...string) error {
	return app().Run(context.Background(), append([]string{"sumac"}, args...))
}

func write(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
	return path
}

func read(t *testing.T, path string) string {
	t.Helper()
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(raw)
}

func TestCommands_ReportFaults(t *testing.T) {
	t.Setenv(platform.SettingsVariable, "")
	for name, c := range map[string]struct {
		args  []string
		exit  int // 1 if the call was not executed, 2 if the call or its input is invalid
		texts []string
	}{
		"node with invalid settings":                {[]string{"node", "--set", "name=a", "--set", "strenght=3"}, 2, []string{"5001", "strenght: no such setting", "peer.address: is missing"}},
		"setting without a value":                   {[]string{"node", "--set", "name"}, 2, []string{"5001", "KEY=VALUE"}},
		"check of an invalid change set":            {[]string{"check", "--change", write(t, "c.yaml", "put: {mappings: [{name: m, path: x, to: [{service: none, weight: 1}]}]}")}, 2, []string{"2001", "mappings.m.path", "mappings.m.to.0.service"}},
		"misspelt key":                              {[]string{"check", "--change", write(t, "c.yaml", "putt: {}")}, 2, []string{"2001", "putt"}},
		"invalid settings of the platform":          {[]string{"platform", "--check", "--settings", "../../platform/testdata/faulty.toml"}, 2, []string{"5001", read(t, "../../platform/testdata/faulty.txt")}},
		"check of invalid settings of the platform": {[]string{"check", "--settings", "../../platform/testdata/faulty.toml"}, 2, []string{"5001", read(t, "../../platform/testdata/faulty.txt")}},
		"no settings of the platform":               {[]string{"platform", "--check"}, 2, []string{"5001", "--settings"}},
		"missing settings file of the platform":     {[]string{"platform", "--check", "--settings", "none.toml"}, 2, []string{"5001", "none.toml"}},
		"platform started with invalid settings":    {[]string{"platform", "--settings", "../../platform/testdata/faulty.toml"}, 2, []string{"5001", "nodeName: is missing"}},
		"unreachable node":                          {[]string{"epoch", "--api", "127.0.0.1:1"}, 1, []string{"4003"}},
		"unknown query":                             {[]string{"shell", "--api", "127.0.0.1:1", "weather"}, 2, []string{"2008", "weather"}},
		"file without a history":                    {[]string{"judge", write(t, "h", "what\n")}, 2, []string{"2008", "line 1"}},
		"history of an incomplete run":              {[]string{"judge", write(t, "h", `{"kind":"began","at":1}`+"\n")}, 2, []string{"breaks a rule"}},
	} {
		t.Run(name, func(t *testing.T) {
			err := run(c.args...)
			if err == nil {
				t.Fatal("command succeeded, want an error")
			}
			if exit := commandline.ExitCode(err); exit != c.exit {
				t.Errorf("exit %d, want %d", exit, c.exit)
			}
			for _, text := range c.texts {
				if !strings.Contains(commandline.Describe(err), text) {
					t.Errorf("error %q does not contain %q", commandline.Describe(err), text)
				}
			}
		})
	}
}

func TestCheck_AcceptsValidInput(t *testing.T) {
	if err := run("check", "--set", "name=a", "--set", "peer.address=127.0.0.1:1", "--set", "api.address=127.0.0.1:2", "--set", "proxy.address=127.0.0.1:3", "--set", "seeds=127.0.0.1:1,127.0.0.1:4"); err != nil {
		t.Error(err)
	}
	if err := run("platform", "--check", "--settings", "../../platform/testdata/core.toml"); err != nil {
		t.Error(err)
	}
	if err := run("check", "--settings", "../../platform/testdata/core.toml"); err != nil {
		t.Error(err)
	}
	good := write(t, "c.yaml", "id: a\nbase: 3\nput:\n  services: [{name: s}]\n  mappings: [{name: m, path: /x, to: [{service: s, weight: 1}]}]\n")
	if err := run("check", "--change", good); err != nil {
		t.Error(err)
	}
}
