// Mutate checks that the tests detect faults. For each mutant in proof/mutants.yaml it removes one
// safeguard from a copy of the source tree and runs the mutant's test or scenario, which must fail;
// a scenario must break the mutant's rule. A mutant for which the file gives a reason to survive
// may pass; if it is caught nevertheless, it is reported as caught.
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

// replacement replaces the text Old in a file by New. Old must occur once, unless Last is set:
// then its last occurrence is replaced.
type replacement struct {
	File, Old, New string
	Last           bool
}

// mutant describes how to remove one safeguard, and the run that must then fail.
type mutant struct {
	Name        string
	replacement `yaml:",inline"`
	More        []replacement

	Scenario, Rule, Survives string
	Mode                     string `yaml:"manner"` // mode of the simulated fleet; "brief" if empty
	Test                     string // test that must fail; replaces the scenario
}

// testFolders contain the tests that are run on mutants. supportPaths are also needed to build them.
var (
	testFolders  = []string{"cmd", "fencing", "internal"}
	supportPaths = []string{"go.mod", "go.sum", "platform"}
)

func main() {
	only := flag.String("only", "", "part of the name of the mutants to try")
	seeds := flag.String("seeds", "1:16", "first and last seed")
	flag.Parse()
	raw, err := os.ReadFile("proof/mutants.yaml")
	must(err)
	var mutants []mutant
	must(yaml.Unmarshal(raw, &mutants))
	tempFolder, err := os.MkdirTemp("", "mutate-")
	must(err)
	defer os.RemoveAll(tempFolder)
	failures := 0
	for _, m := range mutants {
		if !strings.Contains(m.Name, *only) {
			continue
		}
		verdict, isExpected := tryMutant(m, tempFolder, *seeds)
		if !isExpected {
			failures++
		}
		fmt.Printf("%-60s %-14s %s\n", m.Name, m.Scenario, verdict)
	}
	if failures > 0 {
		fmt.Printf("%d mutants failed: not caught, not applicable, or failed for another reason\n", failures)
		os.RemoveAll(tempFolder)
		os.Exit(1)
	}
}

func must(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "mutate:", err)
		os.Exit(1)
	}
}

// tryMutant tests one mutant and returns a verdict, and false if the mutant counts as a failure.
func tryMutant(m mutant, tempFolder, seeds string) (string, bool) {
	tree := filepath.Join(tempFolder, "tree")
	must(os.RemoveAll(tree))
	must(os.MkdirAll(tree, 0o755))
	for _, name := range slices.Concat(testFolders, supportPaths) {
		must(exec.Command("cp", "-r", name, tree).Run())
	}
	for _, change := range append([]replacement{m.replacement}, m.More...) {
		path := filepath.Join(tree, change.File)
		text, err := os.ReadFile(path)
		must(err)
		n := strings.Count(string(text), change.Old)
		if n == 0 || n > 1 && !change.Last {
			return fmt.Sprintf("not applicable: %q occurs %d times in %s", change.Old, n, change.File), false
		}
		offset := strings.LastIndex(string(text), change.Old)
		must(os.WriteFile(path, []byte(string(text[:offset])+change.New+string(text[offset+len(change.Old):])), 0o644))
	}
	if m.Test != "" {
		arguments := []string{"test", "-v", "-run", "^" + m.Test + "$", "-count=1", "-timeout", "240s"}
		for _, name := range testFolders {
			arguments = append(arguments, "./"+name+"/...")
		}
		command := exec.Command("go", arguments...)
		command.Dir = tree
		output, err := command.CombinedOutput()
		if err == nil || !hasTestFailed(string(output), m.Test) {
			if m.Survives != "" {
				return "survives as expected: " + m.Survives, true
			}
			return "SURVIVES " + m.Test, false
		}
		return "caught by " + m.Test, true
	}
	mode := m.Mode
	if mode == "" {
		mode = "brief"
	}
	command := exec.Command("go", "test", "./internal/simulator", "-run", "TestSeeds", "-count=1", "-timeout", "240s", "-seeds", seeds, "-scenario", m.Scenario, "-manner", mode)
	command.Dir = tree
	output, err := command.CombinedOutput()
	matches := regexp.MustCompile(`BROKEN (\S+)`).FindAllStringSubmatch(string(output), -1)
	rules := map[string]int{}
	for _, match := range matches {
		rules[match[1]]++
	}
	if strings.Contains(string(output), "panic: ") && !strings.Contains(string(output), "panic: test timed out") {
		rules["panic"]++
	}
	isCaught := false
	rulePattern := regexp.MustCompile("^(" + m.Rule + ")$")
	for rule := range rules {
		isCaught = isCaught || rulePattern.MatchString(rule)
	}
	switch {
	case err != nil && len(rules) == 0:
		lines := strings.Split(strings.TrimSpace(string(output)), "\n")
		return "failed without a broken rule: " + strings.Join(lines[:min(3, len(lines))], " | "), false
	case isCaught:
		return fmt.Sprintf("caught %v", rules), true
	case m.Survives != "":
		return fmt.Sprintf("survives as expected: %s (other rules broken: %v)", m.Survives, rules), true
	}
	return fmt.Sprintf("SURVIVES; rules broken: %v", rules), false
}

// hasTestFailed reports whether the output of go test -v shows that the test failed or that its
// process panicked while the test ran, in any goroutine. It does not count a panic before the test
// started or after it passed, nor one caused by the test timeout.
func hasTestFailed(output, test string) bool {
	if strings.Contains("\n"+output, "\n--- FAIL: "+test+" (") {
		return true
	}
	_, testOutput, isStarted := strings.Cut("\n"+output, "\n=== RUN   "+test+"\n")
	if !isStarted {
		return false
	}
	testOutput, _, _ = strings.Cut("\n"+testOutput, "\nFAIL\t") // the rest is the output of other packages
	beforePanic, panicText, isPanic := strings.Cut(testOutput, "\npanic: ")
	return isPanic && !strings.Contains(beforePanic, "\n--- PASS: "+test+" (") && !strings.HasPrefix(panicText, "test timed out")
}
