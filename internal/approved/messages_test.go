package approved

import (
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/sumactrestle/sumactrestle/internal/wire"
)

// messages are all generated types of messages between nodes and of stored records.
var messages = []kind{
	{"frame", wire.Frame{}},
	{"peer", wire.Peer{}},
	{"member", wire.Member{}},
	{"probe", wire.Probe{}},
	{"kin-sync", wire.KinSync{}},
	{"entry", wire.Entry{}},
	{"promise-ask", wire.PromiseAsk{}},
	{"promise-receipt", wire.PromiseReceipt{}},
	{"prevote-ask", wire.PrevoteAsk{}},
	{"prevote-receipt", wire.PrevoteReceipt{}},
	{"snapshot", wire.Snapshot{}},
	{"append-ask", wire.AppendAsk{}},
	{"chunk-ask", wire.ChunkAsk{}},
	{"chunk-receipt", wire.ChunkReceipt{}},
	{"append-receipt", wire.AppendReceipt{}},
	{"claim", wire.Claim{}},
	{"round-ask", wire.RoundAsk{}},
	{"round-receipt", wire.RoundReceipt{}},
	{"invite-ask", wire.InviteAsk{}},
	{"charter", wire.Charter{}},
	{"found-ask", wire.FoundAsk{}},
	{"found-receipt", wire.FoundReceipt{}},
	{"pass-ask", wire.PassAsk{}},
	{"pass-receipt", wire.PassReceipt{}},
	{"beat", wire.Beat{}},
	{"target", wire.Target{}},
	{"listed", wire.Listed{}},
	{"news-ask", wire.NewsAsk{}},
	{"part-news", wire.PartNews{}},
	{"news-receipt", wire.NewsReceipt{}},
	{"held", wire.Held{}},
	{"listen-ask", wire.ListenAsk{}},
	{"listen-receipt", wire.ListenReceipt{}},
	{"fetch-ask", wire.FetchAsk{}},
	{"group", wire.Group{}},
	{"fetch-receipt", wire.FetchReceipt{}},
	{"pulse-ask", wire.PulseAsk{}},
	{"pulse-receipt", wire.PulseReceipt{}},
	{"bond-op", wire.BondOp{}},
	{"bond-receipt", wire.BondReceipt{}},
	{"bond-event", wire.BondEvent{}},
	{"bond-record", wire.BondRecord{}},
	{"bond-seen", wire.BondSeen{}},
	{"bond-state", wire.BondState{}},
	{"split", wire.Split{}},
	{"mapping", wire.Mapping{}},
	{"service", wire.Service{}},
	{"limit", wire.Limit{}},
	{"manners", wire.Manners{}},
	{"config", wire.Config{}},
	{"drops", wire.Drops{}},
	{"change", wire.Change{}},
	{"change-receipt", wire.ChangeReceipt{}},
	{"planned", wire.Planned{}},
	{"ledger-state", wire.LedgerState{}},
	{"epoch-view", wire.EpochView{}},
	{"config-view", wire.ConfigView{}},
	{"whose-ask", wire.WhoseAsk{}},
	{"whose-receipt", wire.WhoseReceipt{}},
	{"seen-ask", wire.SeenAsk{}},
	{"ill-ask", wire.IllAsk{}},
	{"compare-ask", wire.CompareAsk{}},
	{"compare-receipt", wire.CompareReceipt{}},
	{"mend-ask", wire.MendAsk{}},
}

func TestMessagesAreAsApproved(t *testing.T) {
	same(t, "messages.txt", show(t, messages))
}

// TestAllMessagesAreApproved finds a generated type that is missing above.
func TestAllMessagesAreApproved(t *testing.T) {
	first := reflect.TypeOf(messages[0].zero)
	folder := filepath.Join("..", filepath.Base(first.PkgPath()))
	known := map[string]bool{}
	for _, k := range messages {
		if reflect.TypeOf(k.zero).PkgPath() != first.PkgPath() {
			t.Errorf("%s is not of %s", k.id, first.PkgPath())
		}
		known[reflect.TypeOf(k.zero).Name()] = true
	}
	files, err := filepath.Glob(filepath.Join(folder, "*_gen.go"))
	if err != nil || len(files) == 0 {
		t.Fatalf("no generated files in %s: %v", folder, err)
	}
	count := 0
	for _, file := range files {
		parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		for _, d := range parsed.Decls {
			g, ok := d.(*ast.GenDecl)
			if !ok || g.Tok != token.TYPE {
				continue
			}
			for _, s := range g.Specs {
				name := s.(*ast.TypeSpec).Name.Name
				if count++; !known[name] {
					t.Errorf("%s %s has no approved JSON", strings.TrimPrefix(file, "../"), name)
				}
			}
		}
	}
	if count != len(messages) {
		t.Errorf("%d types are generated, %d approved", count, len(messages))
	}
}
