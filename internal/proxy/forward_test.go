package proxy

import (
	"errors"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/distribution"
	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/proxy/upstream"
)

func TestHedgeDelay(t *testing.T) {
	for name, test := range map[string]struct{ typical, target, want time.Duration }{
		"a target far away":              {100, 1000, 250},
		"just before a second would fit": {100, 300, 200},
		"no time for a second one":       {100, 240, 300},
		"slower than the target":         {100, 50, 300},
	} {
		t.Run(name, func(t *testing.T) {
			if got := hedgeDelay(test.typical, test.target); got != test.want {
				t.Errorf("%d, not %d", got, test.want)
			}
		})
	}
}

func TestRetryAfter_IsSpreadOverThreeTimesTheMinimum(t *testing.T) {
	for _, minimum := range []time.Duration{100 * time.Millisecond, time.Second, 5 * time.Second} {
		least, most := 1e9, 0.0
		for range 1000 {
			value := retryAfter(minimum)
			seconds, err := strconv.ParseFloat(value, 64)
			if err != nil || minimum >= time.Second && strings.Contains(value, ".") {
				t.Fatal(value, err)
			}
			least, most = min(least, seconds), max(most, seconds)
		}
		if least < minimum.Seconds() || most > 3*minimum.Seconds() || most < 2.5*minimum.Seconds() {
			t.Errorf("%s: from %f to %f seconds", minimum, least, most)
		}
	}
}

func TestRemoveHopByHop(t *testing.T) {
	header := http.Header{"Connection": {"close, X-Own"}, "X-Own": {"1"}, "X-Other": {"2"}, "Te": {"trailers"}, "Upgrade": {"h2c"}, "Keep-Alive": {"timeout=5"}, "Content-Type": {"text/plain"}}
	removeHopByHop(header, header.Get("Connection"))
	if len(header) != 2 || header.Get("X-Other") != "2" || header.Get("Content-Type") != "text/plain" {
		t.Error(header)
	}
}

func TestQuotaShare(t *testing.T) {
	for name, test := range map[string]struct {
		shares map[ids.NodeName]int
		limit  int
		want   int64
	}{
		"alone":             {map[ids.NodeName]int{"p": 1}, 10, 10},
		"by strength":       {map[ids.NodeName]int{"p": 3, "q": 1}, 100, 75},
		"the weaker one":    {map[ids.NodeName]int{"p": 1, "q": 3}, 100, 25},
		"at least one":      {map[ids.NodeName]int{"p": 1, "q": 99}, 5, 1},
		"not named":         {map[ids.NodeName]int{"q": 8, "r": 8}, 90, 30},
		"no proxy is named": {nil, 10, 10},
	} {
		t.Run(name, func(t *testing.T) {
			p := &Proxy{environment: &environment.Environment{Name: "p"}}
			if got := p.quotaShare(&distribution.Snapshot{Shares: test.shares}, test.limit); got != test.want {
				t.Errorf("%d, not %d", got, test.want)
			}
		})
	}
}

func TestReadError(t *testing.T) {
	for name, test := range map[string]struct {
		err  error
		want errcode.Code
	}{
		"too large":  {upstream.ErrTooLarge, errcode.ResponseTooLarge},
		"timed out":  {os.ErrDeadlineExceeded, errcode.DeadlinePassed},
		"broken off": {errors.New("unexpected EOF"), errcode.ResponseLost},
	} {
		t.Run(name, func(t *testing.T) {
			err := readError(&upstream.Response{Err: test.err}, "i")
			if got := errcode.From(err).Code; got.Number != test.want.Number || got.Outcome != "unknown" {
				t.Errorf("%v", err)
			}
		})
	}
}

func TestWriteError_TellsWhetherAnythingMayHaveRun(t *testing.T) {
	request := func(length int64, clientErr error) *http.Request {
		return &http.Request{ContentLength: length, Body: uncloseableBody{&streamedBody{err: clientErr}}}
	}
	for name, test := range map[string]struct {
		request *http.Request
		written int
		want    errcode.Code
	}{
		"nothing of a request without a body": {&http.Request{}, 0, errcode.NotWritten},
		"some of a request without a body":    {&http.Request{}, 1, errcode.ResponseLost},
		"nothing known of one with a body":    {request(9, nil), 0, errcode.ResponseLost},
		"the client's body broke off":         {request(9, errors.New("reset")), 99, errcode.BodyCut},
	} {
		t.Run(name, func(t *testing.T) {
			err := writeError(test.request, test.written, errors.New("broken pipe"))
			if got := errcode.From(err).Code; got.Number != test.want.Number {
				t.Errorf("%v", err)
			}
		})
	}
}
