// The help of every command, and what is said to calls that can't be read, as
// approved transcripts. Run with -approve to take over what is said now.
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

// A second run in the folder of the first broke racing-changes 132 times: its core nodes had the
// change sets of the first.
func TestSeedFolder_KeepsRunsApart(t *testing.T) {
	first, second := seedFolder("f", 1, false), seedFolder("f", 2, false)
	if first == second || first == "f" || second == "f" {
		t.Error(first, second)
	}
	if only := seedFolder("f", 1, true); only != "f" {
		t.Error(only)
	}
}
