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

// records lists the types that are stored or sent as JSON but are not generated messages: records
// on disk, histories, settings, and responses between the servers and clients of package standin.
var records = []jsonType{
	{"term", ids.Term{}},
	{"history-record", checker.Record{}},
	{"stand-in-answer", standin.Response{}},
	{"settings", config.Settings{}},
}

func TestRecords_JSONMatchesApproved(t *testing.T) {
	transcript.Compare(t, "records.txt", renderJSON(t, records))
}

// The test compares the calls of the API and the names in their JSON with the approved ones. The
// schema's names of types and operations may change.
func TestAPI_SchemaMatchesApproved(t *testing.T) {
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

// flatten appends one line per leaf of node to lines. It resolves references and omits
// descriptions and operation IDs.
func flatten(t *testing.T, doc map[string]any, node any, path string, lines *[]string) {
	switch n := node.(type) {
	case map[string]any:
		if ref, ok := n["$ref"].(string); ok {
			if strings.HasPrefix(ref, "#/components/responses/") {
				*lines = append(*lines, path+" problem")
				return
			}
			var target any = doc
			for _, key := range strings.Split(strings.TrimPrefix(ref, "#/"), "/") {
				target = target.(map[string]any)[key]
			}
			flatten(t, doc, target, path, lines)
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
