package simulator

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/proxy"
	"github.com/sumactrestle/sumactrestle/internal/standin"
)

// askUnder sends a target a request that names an epoch, as a proxy does, and returns the status
// and what the target says of not having run it.
func (f *Fleet) askUnder(t *testing.T, epoch uint64, target *standin.Server) (status int, notRun string) {
	t.Helper()
	host := f.Network.HostAt(f.clientHost(7))
	client := &http.Client{Transport: &http.Transport{
		DisableKeepAlives: true,
		DialContext:       func(ctx context.Context, _, address string) (net.Conn, error) { return host.Dial(ctx, address) },
	}}
	request, err := http.NewRequestWithContext(f.ctx, http.MethodGet, "http://"+target.Address+"/rates", nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set(proxy.HeaderEpoch, strconv.FormatUint(epoch, 10))
	response, err := client.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	return response.StatusCode, response.Header.Get(standin.HeaderNotRun)
}

// A proxy that stands still before its write hands a request over under an epoch that is long past.
func TestTarget_RefusesEpochSupersededLongAgo(t *testing.T) {
	inFleet(t, one(), func(t *testing.T, f *Fleet) {
		target := f.Targets("rates")[0]
		operator := f.newOperator(40, f.Cores()[0])
		view, err := operator.Epoch(f.ctx)
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(2500 * time.Millisecond)
		receipt, err := operator.Submit(f.ctx, f.setChange(f.Rand, "newer", view))
		if err != nil {
			t.Fatal(err)
		}
		for _, c := range []struct {
			after  time.Duration
			epoch  uint64
			status int
			notRun string
		}{
			{0, receipt.Epoch - 1, http.StatusOK, ""},
			{500 * time.Millisecond, receipt.Epoch - 1, http.StatusOK, ""},
			{2000 * time.Millisecond, receipt.Epoch - 1, http.StatusServiceUnavailable, proxy.NotRunSuperseded},
			{2000 * time.Millisecond, receipt.Epoch, http.StatusOK, ""},
		} {
			acknowledged := time.Now()
			time.Sleep(c.after)
			if status, notRun := f.askUnder(t, c.epoch, target); status != c.status || notRun != c.notRun {
				t.Errorf("epoch %d, %s after %d: %d %q", c.epoch, time.Since(acknowledged), receipt.Epoch, status, notRun)
			}
		}
		for _, m := range f.Machines {
			f.Network.Partition(m.IP, hostOf(target.Address))
		}
		time.Sleep(3 * time.Second)
		if status, notRun := f.askUnder(t, receipt.Epoch+100, target); status != http.StatusServiceUnavailable || notRun != proxy.NotRunSuperseded {
			t.Errorf("a target without a confirmed epoch executes a request: %d %q", status, notRun)
		}
	})
}

// Proxies that may go on out of touch serve under older epochs, which no target may refuse.
func TestTarget_RefusesNoEpochWhereProxiesGoOnOutOfTouch(t *testing.T) {
	shape := one()
	shape.Settings["distribution.offline_grace"] = "1h"
	inFleet(t, shape, func(t *testing.T, f *Fleet) {
		time.Sleep(5 * time.Second)
		if status, notRun := f.askUnder(t, 1, f.Targets("rates")[0]); status != http.StatusOK {
			t.Errorf("%d %q", status, notRun)
		}
	})
}
