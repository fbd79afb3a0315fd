// What is generated must be what the schemas say now.
package schema

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

func same(t *testing.T, root, fresh string) {
	t.Helper()
	err := filepath.Walk(fresh, func(path string, info os.FileInfo, err error) error {
		if err != nil || info.IsDir() {
			return err
		}
		name, _ := filepath.Rel(fresh, path)
		want, _ := os.ReadFile(path)
		have, _ := os.ReadFile(filepath.Join(root, name))
		if string(want) != string(have) {
			t.Errorf("%s is not current; run go generate ./...", name)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}

func TestMintIsCurrent(t *testing.T) {
	fresh := t.TempDir()
	if out, err := exec.Command("go", "run", "../tools/schemagen", "..", fresh).CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	same(t, "..", fresh)
}

func TestApiIsCurrent(t *testing.T) {
	fresh := t.TempDir()
	target := filepath.Join(fresh, "internal", "api")
	if out, err := exec.Command("go", "tool", "ogen", "--target", target, "--package", "api", "--clean", "--config", "ogen.yaml", "api.yaml").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	same(t, "..", fresh)
}

func TestNoFileIsOver400Lines(t *testing.T) {
	err := filepath.Walk("..", func(path string, info os.FileInfo, err error) error {
		if err != nil {
			return err
		}
		if info.IsDir() && (info.Name() == ".git" || info.Name() == "api" || info.Name() == "run" || info.Name() == "bin") {
			return filepath.SkipDir
		}
		if ext := filepath.Ext(path); ext != ".go" && ext != ".md" || strings.HasSuffix(path, "_gen.go") {
			return nil
		}
		raw, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		lines := 0
		for _, b := range raw {
			if b == '\n' {
				lines++
			}
		}
		if lines > 400 {
			t.Errorf("%s has %d lines", path, lines)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}
