package simulator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/go-faster/jx"

	"github.com/sumactrestle/sumactrestle/internal/api"
	"github.com/sumactrestle/sumactrestle/internal/checker"
	"github.com/sumactrestle/sumactrestle/internal/standin"
)

// IsUsable reports whether every running proxy serves every service, and the core accepts
// coordination calls.
func (f *Fleet) IsUsable() bool {
	client := f.newClient(90)
	defer client.Close()
	for _, proxyNode := range f.Proxies() {
		if proxyNode.Node() == nil {
			continue
		}
		for service := range f.Shape.Targets {
			method, body := "POST", []byte("{}")
			if f.Shape.Idempotent[service] {
				method, body = "GET", nil
			}
			if client.Call(f.ctx, proxyNode.ProxyAddress(), method, "/"+service, service, body).Outcome != "ran" {
				return false
			}
		}
	}
	apiClient := standin.NewAPIClient(f.Network.HostAt(f.clientHost(91)), f.Cores()[0].APIAddress())
	for i := range 3 {
		ctx, cancel := context.WithTimeout(f.ctx, time.Second)
		_, err := apiClient.PutKey(ctx, &api.Call{Name: fmt.Sprint("usable", i), Value: jx.Raw("1")})
		cancel()
		if err != nil {
			return false
		}
	}
	return true
}

// Restore ends all network and disk faults and starts the machines that are down.
func (f *Fleet) Restore() {
	f.Network.SetLossRate(0)
	f.Network.Heal()
	for _, m := range f.Machines {
		f.Network.Disk(m.IP).Resume()
		f.Network.Disk(m.IP).Slow(0)
		if m.Node() == nil {
			if err := m.Start(); err != nil {
				f.Logf("%s failed to start: %v", m.Name, err)
			}
		}
	}
}

// status reports whether all machines are up without network or disk faults, and how many faults
// were injected so far.
func (f *Fleet) status() (isIntact bool, faults int) {
	isIntact, faults = f.Network.status()
	for _, m := range f.Machines {
		isDiskIntact, diskFaults := f.Network.Disk(m.IP).status()
		isIntact = isIntact && isDiskIntact && m.Node() != nil
		faults += diskFaults
	}
	return isIntact, faults
}

// measureRecoveries records, whenever all faults have ended during the run, the time until the
// fleet is usable again, or a failure after 16 s. It records nothing if the next fault comes first.
func (f *Fleet) measureRecoveries() {
	restoredAt, isMeasured, lastFaults := time.Duration(0), true, 0
	f.goTask(func(r *rand.Rand) {
		time.Sleep(200 * time.Millisecond)
		isIntact, faults := f.status()
		if faults != lastFaults || !isIntact {
			restoredAt, isMeasured, lastFaults = 0, false, faults
		}
		if isIntact && restoredAt == 0 {
			restoredAt = f.History.Now()
		}
		if isMeasured || restoredAt == 0 {
			return
		}
		isUsable := f.IsUsable()
		if isIntact, faults = f.status(); faults != lastFaults || !isIntact {
			return
		}
		if isUsable || f.History.Now()-restoredAt > 16*time.Second {
			isMeasured = true
			rec := checker.Record{Kind: checker.Recovery, Start: restoredAt, Outcome: "usable"}
			if !isUsable {
				rec.Outcome = "not usable"
			}
			f.History.Add(rec)
		}
	})
}
