package main

import (
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"go.yaml.in/yaml/v3"
)

// TestMutants_ApplyToCode checks that proof/mutants.yaml fits the current code. A mutant tests
// nothing if its text does not occur, if it occurs more than once, or if its test does not exist.
func TestMutants_ApplyToCode(t *testing.T) {
	root := filepath.Join("..", "..")
	raw, err := os.ReadFile(filepath.Join(root, "proof", "mutants.yaml"))
	if err != nil {
		t.Fatal(err)
	}
	var mutants []mutant
	if err := yaml.Unmarshal(raw, &mutants); err != nil {
		t.Fatal(err)
	}
	tests := map[string]bool{}
	for _, folder := range testFolders {
		maps.Copy(tests, findTests(t, filepath.Join(root, folder)))
	}
	for _, m := range mutants {
		if m.Test != "" && !tests[m.Test] {
			t.Errorf("%s: test %s does not exist", m.Name, m.Test)
		}
		for _, change := range append([]replacement{m.replacement}, m.More...) {
			code, err := os.ReadFile(filepath.Join(root, change.File))
			if err != nil {
				t.Errorf("%s: %v", m.Name, err)
				continue
			}
			if n := strings.Count(string(code), change.Old); n == 0 || n > 1 && !change.Last {
				t.Errorf("%s: its text occurs %d times in %s", m.Name, n, change.File)
			}
		}
	}
}

// findTests returns the names of all tests below a folder.
func findTests(t *testing.T, folder string) map[string]bool {
	t.Helper()
	tests, declared := map[string]bool{}, regexp.MustCompile(`(?m)^func (Test\w+)\(`)
	err := filepath.WalkDir(folder, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		code, err := os.ReadFile(path)
		for _, match := range declared.FindAllSubmatch(code, -1) {
			tests[string(match[1])] = true
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return tests
}
