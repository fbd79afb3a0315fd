package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"go.yaml.in/yaml/v3"
)

// TestEveryMutantFitsTheCode keeps proof/mutants.yaml true while code moves: a
// mutant whose text is nowhere, or in more places than one, tests nothing.
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
	for _, m := range mutants {
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
