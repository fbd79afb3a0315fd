// These tests compare the help of every command, and the errors for invalid command lines, with
// approved transcripts. Run with -approve to accept the current output.
package command

import (
	"testing"

	"github.com/sumactrestle/sumactrestle/internal/commandline/commandlinetest"
)

func TestTranscriptHelp(t *testing.T) { commandlinetest.Help(t, app) }

func TestHelpIsComplete(t *testing.T) { commandlinetest.HelpIsComplete(t, app) }

func TestTranscriptRefused(t *testing.T) {
	commandlinetest.Refused(t, app, []string{
		"ru",
		"help ru",
		"--foo",
		"smoke extra",
		"up --shape round",
		"run extra",
		"run --foo",
		"run --seconds x",
		"run --seconds 0",
		"run --factor 11",
		"run --work 2m",
		"run --seeds 5:1",
		"run --seeds 1:2 --history h",
		"run --faults rain",
		"run --shape round",
		"report",
		"report none.json",
		"report testdata/help.txt",
		"report testdata/small.json",
	})
}

// Guards against core nodes that load the change sets of the previous seed's run from a shared
// folder, which violates the rule racing-changes.
func TestSeedFolder_SeparatesRunsBySeed(t *testing.T) {
	first, second := seedFolder("f", 1, false), seedFolder("f", 2, false)
	if first == second || first == "f" || second == "f" {
		t.Error(first, second)
	}
	if only := seedFolder("f", 1, true); only != "f" {
		t.Error(only)
	}
}
