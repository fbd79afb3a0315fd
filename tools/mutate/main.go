// Mutate shows that the tests can fail: it copies the tree, takes one safeguard
// out at a time as proof/mutants.yaml says, and demands that the run named
// breaks the rule named. A mutant that is said to survive must do so for the
// reason given there; if it is caught after all, that is told too.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"

	"go.yaml.in/yaml/v3"
)

// replacement is a text of a file and what takes its place; the last of several if Last.
type replacement struct {
	File, Old, New string
	Last           bool
}

// mutant is the code without one safeguard, and the run that must show it.
type mutant struct {
	Name        string
	replacement `yaml:",inline"`
	More        []replacement

	Scenario, Rule, Survives string
	Mode                     string `yaml:"manner"` // of fleets; the brief's if empty
	Test                     string // a test that must fail, in place of a scenario
}

// testFolders hold the tests that judge mutants; the code of a mutant needs otherFolders as well.
var (
	testFolders  = []string{"cmd", "fencing", "internal"}
	otherFolders = []string{"go.mod", "go.sum", "platform"}
)

func main() {
	only := flag.String("only", "", "part of the name of the mutants to try")
	seeds := flag.String("seeds", "1:16", "first and last seed")
	flag.Parse()
	raw, err := os.ReadFile("proof/mutants.yaml")
	must(err)
	var mutants []mutant
	must(yaml.Unmarshal(raw, &mutants))
	folder, err := os.MkdirTemp("", "mutate-")
	must(err)
	defer os.RemoveAll(folder)
	failures := 0
	for _, m := range mutants {
		if !strings.Contains(m.Name, *only) {
			continue
		}
		verdict, isFine := attempt(m, folder, *seeds)
		if !isFine {
			failures++
		}
		fmt.Printf("%-60s %-14s %s\n", m.Name, m.Scenario, verdict)
	}
	if failures > 0 {
		fmt.Printf("%d mutants were not caught\n", failures)
		os.RemoveAll(folder)
		os.Exit(1)
	}
}

func must(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "mutate:", err)
		os.Exit(1)
	}
}

func attempt(m mutant, folder, seeds string) (string, bool) {
	tree := filepath.Join(folder, "tree")
	must(os.RemoveAll(tree))
	must(os.MkdirAll(tree, 0o755))
	for _, name := range slices.Concat(testFolders, otherFolders) {
		must(exec.Command("cp", "-r", name, tree).Run())
	}
	for _, change := range append([]replacement{m.replacement}, m.More...) {
		path := filepath.Join(tree, change.File)
		text, err := os.ReadFile(path)
		must(err)
		n := strings.Count(string(text), change.Old)
		if n == 0 || n > 1 && !change.Last {
			return fmt.Sprintf("can't be made: %q stands %d times in %s", change.Old, n, change.File), false
		}
		at := strings.LastIndex(string(text), change.Old)
		must(os.WriteFile(path, []byte(string(text[:at])+change.New+string(text[at+len(change.Old):])), 0o644))
	}
	if m.Test != "" {
		arguments := []string{"test", "-v", "-run", "^" + m.Test + "$", "-count=1", "-timeout", "240s"}
		for _, name := range testFolders {
			arguments = append(arguments, "./"+name+"/...")
		}
		run := exec.Command("go", arguments...)
		run.Dir = tree
		out, err := run.CombinedOutput()
		if err == nil || !isFailed(string(out), m.Test) {
			if m.Survives != "" {
				return "survives, as said: " + m.Survives, true
			}
			return "SURVIVES " + m.Test, false
		}
		return "caught by " + m.Test, true
	}
	mode := m.Mode
	if mode == "" {
		mode = "brief"
	}
	run := exec.Command("go", "test", "./internal/simulator", "-run", "TestSeeds", "-count=1", "-timeout", "240s", "-seeds", seeds, "-scenario", m.Scenario, "-manner", mode)
	run.Dir = tree
	out, err := run.CombinedOutput()
	broken := regexp.MustCompile(`BROKEN (\S+)`).FindAllStringSubmatch(string(out), -1)
	rules := map[string]int{}
	for _, b := range broken {
		rules[b[1]]++
	}
	if strings.Contains(string(out), "panic: ") && !strings.Contains(string(out), "panic: test timed out") {
		rules["panic"]++
	}
	isCaught := false
	wanted := regexp.MustCompile("^(" + m.Rule + ")$")
	for rule := range rules {
		isCaught = isCaught || wanted.MatchString(rule)
	}
	switch {
	case err != nil && len(rules) == 0:
		lines := strings.Split(strings.TrimSpace(string(out)), "\n")
		return "failed otherwise: " + strings.Join(lines[:min(3, len(lines))], " | "), false
	case isCaught:
		return fmt.Sprintf("caught %v", rules), true
	case m.Survives != "":
		return fmt.Sprintf("survives, as said: %s (broken otherwise: %v)", m.Survives, rules), true
	}
	return fmt.Sprintf("SURVIVES; rules broken: %v", rules), false
}

// isFailed tells from what go test -v wrote whether the test failed, or ended its process
// by a panic, in its own goroutine or another. A panic before the test began or after it
// passed, and one of a process that ran too long, is none of the test's.
func isFailed(out, test string) bool {
	if strings.Contains("\n"+out, "\n--- FAIL: "+test+" (") {
		return true
	}
	_, ran, isRun := strings.Cut("\n"+out, "\n=== RUN   "+test+"\n")
	if !isRun {
		return false
	}
	ran, _, _ = strings.Cut("\n"+ran, "\nFAIL\t") // what follows is another package's
	before, panicked, isPanic := strings.Cut(ran, "\npanic: ")
	return isPanic && !strings.Contains(before, "\n--- PASS: "+test+" (") && !strings.HasPrefix(panicked, "test timed out")
}
