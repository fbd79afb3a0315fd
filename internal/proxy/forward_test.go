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
		"latency target is long":                     {100, 1000, 250},
		"hedge just fits into the latency target":    {100, 300, 200},
		"no time for a hedge":                        {100, 240, 300},
		"typical latency exceeds the latency target": {100, 50, 300},
	} {
		t.Run(name, func(t *testing.T) {
			if got := hedgeDelay(test.typical, test.target); got != test.want {
				t.Errorf("got %d, want %d", got, test.want)
			}
		})
	}
}

func TestRetryAfter_IsOneToThreeTimesTheMinimum(t *testing.T) {
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
			t.Errorf("minimum %s: values from %f to %f seconds", minimum, least, most)
		}
	}
}

func TestRemoveHopByHop(t *testing.T) {
	header := http.Header{"Connection": {"close, X-Hop"}, "X-Hop": {"1"}, "X-Other": {"2"}, "Te": {"trailers"}, "Upgrade": {"h2c"}, "Keep-Alive": {"timeout=5"}, "Content-Type": {"text/plain"}}
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
		"only proxy":          {map[ids.NodeName]int{"p": 1}, 10, 10},
		"stronger proxy":      {map[ids.NodeName]int{"p": 3, "q": 1}, 100, 75},
		"weaker proxy":        {map[ids.NodeName]int{"p": 1, "q": 3}, 100, 25},
		"at least one":        {map[ids.NodeName]int{"p": 1, "q": 99}, 5, 1},
		"proxy is not listed": {map[ids.NodeName]int{"q": 8, "r": 8}, 90, 30},
		"no proxy is listed":  {nil, 10, 10},
	} {
		t.Run(name, func(t *testing.T) {
			p := &Proxy{environment: &environment.Environment{Name: "p"}}
			if got := p.quotaShare(&distribution.Snapshot{Shares: test.shares}, test.limit); got != test.want {
				t.Errorf("got %d, want %d", got, test.want)
			}
		})
	}
}

func TestReadError(t *testing.T) {
	for name, test := range map[string]struct {
		err  error
		want errcode.Code
	}{
		"too large":         {upstream.ErrTooLarge, errcode.ResponseTooLarge},
		"timed out":         {os.ErrDeadlineExceeded, errcode.DeadlinePassed},
		"connection closed": {errors.New("unexpected EOF"), errcode.ResponseLost},
	} {
		t.Run(name, func(t *testing.T) {
			err := readError(&upstream.Response{Err: test.err}, "i")
			if got := errcode.From(err).Code; got.Number != test.want.Number || got.Outcome != "unknown" {
				t.Errorf("unexpected error: %v", err)
			}
		})
	}
}

func TestWriteError_DistinguishesNotWrittenFromLostAndCut(t *testing.T) {
	request := func(length int64, clientErr error) *http.Request {
		return &http.Request{ContentLength: length, Body: uncloseableBody{&streamedBody{sourceErr: clientErr}}}
	}
	for name, test := range map[string]struct {
		request *http.Request
		written int
		want    errcode.Code
	}{
		"nothing written, without a body":  {&http.Request{}, 0, errcode.NotWritten},
		"one byte written, without a body": {&http.Request{}, 1, errcode.ResponseLost},
		"nothing written, with a body":     {request(9, nil), 0, errcode.ResponseLost},
		"client's body failed":             {request(9, errors.New("reset")), 99, errcode.BodyTruncated},
	} {
		t.Run(name, func(t *testing.T) {
			err := writeError(test.request, test.written, errors.New("broken pipe"))
			if got := errcode.From(err).Code; got.Number != test.want.Number {
				t.Errorf("unexpected error: %v", err)
			}
		})
	}
}
