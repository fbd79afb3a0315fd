package approved

import (
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// messages are all generated types of messages between nodes and of stored records.
var messages = []kind{
	{"frame", rpc.Frame{}},
	{"peer", rpc.Peer{}},
	{"member", rpc.Member{}},
	{"probe", rpc.Probe{}},
	{"kin-sync", rpc.KinSync{}},
	{"entry", rpc.Entry{}},
	{"promise-ask", rpc.PromiseAsk{}},
	{"promise-receipt", rpc.PromiseReceipt{}},
	{"prevote-ask", rpc.PrevoteAsk{}},
	{"prevote-receipt", rpc.PrevoteReceipt{}},
	{"snapshot", rpc.Snapshot{}},
	{"append-ask", rpc.AppendAsk{}},
	{"chunk-ask", rpc.ChunkAsk{}},
	{"chunk-receipt", rpc.ChunkReceipt{}},
	{"append-receipt", rpc.AppendReceipt{}},
	{"claim", rpc.Claim{}},
	{"round-ask", rpc.RoundAsk{}},
	{"round-receipt", rpc.RoundReceipt{}},
	{"invite-ask", rpc.InviteAsk{}},
	{"charter", rpc.Charter{}},
	{"found-ask", rpc.FoundAsk{}},
	{"found-receipt", rpc.FoundReceipt{}},
	{"pass-ask", rpc.PassAsk{}},
	{"pass-receipt", rpc.PassReceipt{}},
	{"beat", rpc.Beat{}},
	{"target", rpc.Target{}},
	{"listed", rpc.Listed{}},
	{"news-ask", rpc.NewsAsk{}},
	{"part-news", rpc.PartNews{}},
	{"news-receipt", rpc.NewsReceipt{}},
	{"held", rpc.Held{}},
	{"listen-ask", rpc.ListenAsk{}},
	{"listen-receipt", rpc.ListenReceipt{}},
	{"fetch-ask", rpc.FetchAsk{}},
	{"group", rpc.Group{}},
	{"fetch-receipt", rpc.FetchReceipt{}},
	{"pulse-ask", rpc.PulseAsk{}},
	{"pulse-receipt", rpc.PulseReceipt{}},
	{"bond-op", rpc.BondOp{}},
	{"bond-receipt", rpc.BondReceipt{}},
	{"bond-event", rpc.BondEvent{}},
	{"bond-record", rpc.BondRecord{}},
	{"bond-seen", rpc.BondSeen{}},
	{"bond-state", rpc.BondState{}},
	{"split", rpc.Split{}},
	{"mapping", rpc.Mapping{}},
	{"service", rpc.Service{}},
	{"limit", rpc.Limit{}},
	{"manners", rpc.Manners{}},
	{"config", rpc.Config{}},
	{"drops", rpc.Drops{}},
	{"change", rpc.Change{}},
	{"change-receipt", rpc.ChangeReceipt{}},
	{"planned", rpc.Planned{}},
	{"ledger-state", rpc.LedgerState{}},
	{"epoch-view", rpc.EpochView{}},
	{"config-view", rpc.ConfigView{}},
	{"whose-ask", rpc.WhoseAsk{}},
	{"whose-receipt", rpc.WhoseReceipt{}},
	{"seen-ask", rpc.SeenAsk{}},
	{"ill-ask", rpc.IllAsk{}},
	{"compare-ask", rpc.CompareAsk{}},
	{"compare-receipt", rpc.CompareReceipt{}},
	{"mend-ask", rpc.MendAsk{}},
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
