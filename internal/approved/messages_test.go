package approved

import (
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/sumactrestle/sumactrestle/internal/transcript"

	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// messages lists all generated types of messages between nodes and of stored records.
var messages = []jsonType{
	{"frame", rpc.Frame{}},
	{"peer", rpc.Peer{}},
	{"member", rpc.Member{}},
	{"probe", rpc.Probe{}},
	{"kin-sync", rpc.MembershipSync{}},
	{"entry", rpc.Entry{}},
	{"promise-ask", rpc.VoteRequest{}},
	{"promise-receipt", rpc.VoteResponse{}},
	{"prevote-ask", rpc.PreVoteRequest{}},
	{"prevote-receipt", rpc.PreVoteResponse{}},
	{"snapshot", rpc.Snapshot{}},
	{"append-ask", rpc.AppendRequest{}},
	{"chunk-ask", rpc.SnapshotChunkRequest{}},
	{"chunk-receipt", rpc.SnapshotChunkResponse{}},
	{"append-receipt", rpc.AppendResponse{}},
	{"claim", rpc.LeaderClaim{}},
	{"round-ask", rpc.HeartbeatRequest{}},
	{"round-receipt", rpc.HeartbeatResponse{}},
	{"invite-ask", rpc.CampaignRequest{}},
	{"charter", rpc.Charter{}},
	{"found-ask", rpc.BootstrapRequest{}},
	{"found-receipt", rpc.BootstrapResponse{}},
	{"pass-ask", rpc.ForwardRequest{}},
	{"pass-receipt", rpc.ForwardResponse{}},
	{"beat", rpc.TargetHeartbeat{}},
	{"target", rpc.Target{}},
	{"listed", rpc.ReportedTarget{}},
	{"news-ask", rpc.TargetReportRequest{}},
	{"part-news", rpc.ShardTargets{}},
	{"news-receipt", rpc.TargetReportResponse{}},
	{"held", rpc.GroupVersion{}},
	{"listen-ask", rpc.ListenRequest{}},
	{"listen-receipt", rpc.ListenResponse{}},
	{"fetch-ask", rpc.FetchRequest{}},
	{"group", rpc.Group{}},
	{"fetch-receipt", rpc.FetchResponse{}},
	{"pulse-ask", rpc.FreshnessRequest{}},
	{"pulse-receipt", rpc.FreshnessResponse{}},
	{"bond-op", rpc.CoordinationRequest{}},
	{"bond-receipt", rpc.CoordinationResponse{}},
	{"bond-event", rpc.WatchEvent{}},
	{"bond-record", rpc.CoordinationRecord{}},
	{"bond-seen", rpc.CompletedRequest{}},
	{"bond-state", rpc.CoordinationState{}},
	{"split", rpc.WeightedService{}},
	{"mapping", rpc.Route{}},
	{"service", rpc.Service{}},
	{"limit", rpc.Limit{}},
	{"manners", rpc.ClientLimits{}},
	{"config", rpc.Configuration{}},
	{"drops", rpc.Removals{}},
	{"change", rpc.ChangeSet{}},
	{"change-receipt", rpc.ChangeResult{}},
	{"planned", rpc.EpochEntry{}},
	{"ledger-state", rpc.ConfigurationState{}},
	{"epoch-view", rpc.EpochView{}},
	{"config-view", rpc.ConfigurationView{}},
	{"whose-ask", rpc.InstanceLookupRequest{}},
	{"whose-receipt", rpc.InstanceLookupResponse{}},
	{"seen-ask", rpc.UnansweredRequests{}},
	{"ill-ask", rpc.FailureReport{}},
	{"compare-ask", rpc.RangeDigestRequest{}},
	{"compare-receipt", rpc.RangeDigestResponse{}},
	{"mend-ask", rpc.RepairRequest{}},
}

func TestMessages_JSONMatchesApproved(t *testing.T) {
	transcript.Compare(t, "messages.txt", renderJSON(t, messages))
}

// Each generated type must be listed in messages, so that its JSON is compared.
func TestMessages_AllGeneratedTypesAreListed(t *testing.T) {
	first := reflect.TypeOf(messages[0].zero)
	folder := filepath.Join("..", filepath.Base(first.PkgPath()))
	listed := map[string]bool{}
	for _, typ := range messages {
		if reflect.TypeOf(typ.zero).PkgPath() != first.PkgPath() {
			t.Errorf("%s is not a type of %s", typ.id, first.PkgPath())
		}
		listed[reflect.TypeOf(typ.zero).Name()] = true
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
				if count++; !listed[name] {
					t.Errorf("%s %s is not listed in messages", strings.TrimPrefix(file, "../"), name)
				}
			}
		}
	}
	if count != len(messages) {
		t.Errorf("%d types are generated, %d are listed in messages", count, len(messages))
	}
}
