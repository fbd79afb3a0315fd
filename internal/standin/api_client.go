package standin

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/api"
	"github.com/sumactrestle/sumactrestle/internal/environment"
)

// idleTimeout is how long clients of this package keep an idle connection open.
const idleTimeout = 5 * time.Second

func newTransport(host environment.Host, maxIdlePerHost int) *http.Transport {
	return &http.Transport{
		DialContext:         func(ctx context.Context, _, address string) (net.Conn, error) { return host.Dial(ctx, address) },
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     idleTimeout,
	}
}

// NewAPIClient returns a client that dials a node's API from host. The address has the form
// host:port; NewAPIClient panics if it is invalid.
func NewAPIClient(host environment.Host, address string) *api.Client {
	client, err := api.NewClient("http://"+address, api.WithClient(&http.Client{Transport: newTransport(host, 4)}))
	if err != nil {
		panic(err)
	}
	return client
}

// CodeOf returns the numbered code of a rejected API call, 0 if err is nil, and -1 for any
// other error, such as a missing response.
func CodeOf(err error) int {
	if problem := problemOf(err); problem != nil {
		return problem.Code
	}
	if err != nil {
		return -1
	}
	return 0
}

// problemOf returns the API's response to a rejected call, or nil if err contains none.
func problemOf(err error) *api.Problem {
	var problem *api.ProblemStatusCodeWithHeaders
	if errors.As(err, &problem) {
		return &problem.Response
	}
	return nil
}
