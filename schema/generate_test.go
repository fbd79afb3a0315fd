package schema

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// requireSameFiles fails for each file below generatedRoot that differs from the file of the
// same name below root.
func requireSameFiles(t *testing.T, root, generatedRoot string) {
	t.Helper()
	err := filepath.Walk(generatedRoot, func(path string, info os.FileInfo, err error) error {
		if err != nil || info.IsDir() {
			return err
		}
		name, _ := filepath.Rel(generatedRoot, path)
		generated, _ := os.ReadFile(path)
		committed, _ := os.ReadFile(filepath.Join(root, name))
		if string(generated) != string(committed) {
			t.Errorf("%s is not current; run go generate ./...", name)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}

func TestSchemagen_OutputIsCurrent(t *testing.T) {
	generatedRoot := t.TempDir()
	if output, err := exec.Command("go", "run", "../tools/schemagen", "..", generatedRoot).CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, output)
	}
	requireSameFiles(t, "..", generatedRoot)
}

func TestOgen_OutputIsCurrent(t *testing.T) {
	generatedRoot := t.TempDir()
	target := filepath.Join(generatedRoot, "internal", "api")
	if output, err := exec.Command("go", "tool", "ogen", "--target", target, "--package", "api", "--clean", "--config", "ogen.yaml", "api.yaml").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, output)
	}
	requireSameFiles(t, "..", generatedRoot)
}
