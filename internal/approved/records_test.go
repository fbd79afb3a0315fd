package approved

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"testing"

	"github.com/sumactrestle/sumactrestle/internal/transcript"

	"go.yaml.in/yaml/v3"

	"github.com/sumactrestle/sumactrestle/internal/checker"
	"github.com/sumactrestle/sumactrestle/internal/config"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/standin"
)

// records are the types beside the generated messages that are written as JSON: for
// the disk, for histories and figures that are read again, and between stand-ins.
var records = []kind{
	{"term", ids.Term{}},
	{"history-record", checker.Record{}},
	{"stand-in-answer", standin.Response{}},
	{"settings", config.Settings{}},
}

func TestRecordsAreAsApproved(t *testing.T) {
	transcript.Compare(t, "records.txt", show(t, records))
}

// TestApiIsAsApproved holds the calls of the API and the names in their JSON; what the
// schema calls its types and operations may change.
func TestApiIsAsApproved(t *testing.T) {
	raw, err := os.ReadFile(filepath.Join("..", "..", "schema", "api.yaml"))
	if err != nil {
		t.Fatal(err)
	}
	var doc map[string]any
	if err := yaml.Unmarshal(raw, &doc); err != nil {
		t.Fatal(err)
	}
	var lines []string
	flatten(t, doc, doc["paths"], "", &lines)
	for _, problem := range doc["components"].(map[string]any)["responses"].(map[string]any) {
		flatten(t, doc, problem, " problem", &lines)
	}
	sort.Strings(lines)
	transcript.Compare(t, "api.txt", strings.Join(lines, "\n")+"\n")
}

// flatten writes a line for each leaf, with references resolved and no descriptions.
func flatten(t *testing.T, doc map[string]any, node any, path string, lines *[]string) {
	switch n := node.(type) {
	case map[string]any:
		if ref, ok := n["$ref"].(string); ok {
			if strings.HasPrefix(ref, "#/components/responses/") {
				*lines = append(*lines, path+" problem")
				return
			}
			var to any = doc
			for _, step := range strings.Split(strings.TrimPrefix(ref, "#/"), "/") {
				to = to.(map[string]any)[step]
			}
			flatten(t, doc, to, path, lines)
			return
		}
		if len(n) == 0 {
			*lines = append(*lines, path+" {}")
		}
		for key, value := range n {
			_, isText := value.(string)
			if key == "operationId" || key == "description" && isText {
				continue
			}
			flatten(t, doc, value, path+" "+key, lines)
		}
	case []any:
		for i, value := range n {
			name := fmt.Sprint(i)
			if m, ok := value.(map[string]any); ok && m["name"] != nil {
				name = fmt.Sprint(m["name"])
			}
			flatten(t, doc, value, path+" "+name, lines)
		}
	default:
		leaf, err := json.Marshal(n)
		if err != nil {
			t.Fatal(err)
		}
		*lines = append(*lines, path+" "+string(leaf))
	}
}
