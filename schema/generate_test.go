package schema

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// requireSameFiles fails for each file below fresh that differs from its namesake below root.
func requireSameFiles(t *testing.T, root, fresh string) {
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

func TestSchemagen_OutputIsCurrent(t *testing.T) {
	fresh := t.TempDir()
	if out, err := exec.Command("go", "run", "../tools/schemagen", "..", fresh).CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	requireSameFiles(t, "..", fresh)
}

func TestOgen_OutputIsCurrent(t *testing.T) {
	fresh := t.TempDir()
	target := filepath.Join(fresh, "internal", "api")
	if out, err := exec.Command("go", "tool", "ogen", "--target", target, "--package", "api", "--clean", "--config", "ogen.yaml", "api.yaml").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	requireSameFiles(t, "..", fresh)
}
