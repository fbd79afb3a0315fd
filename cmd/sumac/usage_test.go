package main

import (
	"os"
	"testing"

	"github.com/sumactrestle/sumactrestle/internal/commandline/commandlinetest"
	"github.com/sumactrestle/sumactrestle/platform"
)

// The transcripts in testdata hold the help of every command and the errors of invalid calls. Run
// the tests with -approve to update them.

func TestTranscriptHelp(t *testing.T) { commandlinetest.Help(t, app) }

func TestHelpIsComplete(t *testing.T) { commandlinetest.HelpIsComplete(t, app) }

func TestTranscriptRefused(t *testing.T) {
	for _, name := range []string{"SUMAC_API", platform.SettingsVariable} {
		t.Setenv(name, "") // restores the variable after the test
		os.Unsetenv(name)
	}
	commandlinetest.Refused(t, app, []string{
		"nod",
		"help nod",
		"--foo",
		"node --foo",
		"node extra",
		"node --set name",
		"check extra",
		"check --settings a --change b",
		"check --settings a --props b",
		"check --objects",
		"check --props none.yaml",
		"check --settings none.toml",
		"check --change none.yaml",
		"submit",
		"submit --api 127.0.0.1:1",
		"submit --api 127.0.0.1:1 a.yaml b.yaml",
		"submit --api 127.0.0.1:1 none.yaml",
		"submit --api 127.0.0.1:1 --base x a.yaml",
		"ask --api 127.0.0.1:1",
		"ask --api 127.0.0.1:1 a b",
		"epoch",
		"epoch --api=",
		"epoch --api 127.0.0.1:1 extra",
		"epoch --api 127.0.0.1:1",
		"shell --api 127.0.0.1:1 weather",
		"platform",
		"platform extra",
		"platform --log loud --settings none.toml",
		"platform --settings none.toml",
		"judge",
		"judge none.history",
	})
}
