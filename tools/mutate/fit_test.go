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

// TestEveryMutantFitsTheCode keeps proof/mutants.yaml true while code moves: a
// mutant whose text is nowhere, or in more places than one, or whose test is not there,
// tests nothing.
func TestEveryMutantFitsTheCode(t *testing.T) {
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
		maps.Copy(tests, testsUnder(t, filepath.Join(root, folder)))
	}
	for _, m := range mutants {
		if m.Test != "" && !tests[m.Test] {
			t.Errorf("%s: there is no test %s", m.Name, m.Test)
		}
		for _, change := range append([]replacement{m.replacement}, m.More...) {
			code, err := os.ReadFile(filepath.Join(root, change.File))
			if err != nil {
				t.Errorf("%s: %v", m.Name, err)
				continue
			}
			if n := strings.Count(string(code), change.Old); n == 0 || n > 1 && !change.Last {
				t.Errorf("%s: its text is %d times in %s", m.Name, n, change.File)
			}
		}
	}
}

// testsUnder is the names of all tests in a folder.
func testsUnder(t *testing.T, folder string) map[string]bool {
	t.Helper()
	tests, declared := map[string]bool{}, regexp.MustCompile(`(?m)^func (Test\w+)\(`)
	err := filepath.WalkDir(folder, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		code, err := os.ReadFile(path)
		for _, found := range declared.FindAllSubmatch(code, -1) {
			tests[string(found[1])] = true
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return tests
}
