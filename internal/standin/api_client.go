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

// idleTimeout is how long stand-ins keep a connection that is not in use.
const idleTimeout = 5 * time.Second

func newTransport(host environment.Host, maxIdlePerHost int) *http.Transport {
	return &http.Transport{
		DialContext:         func(ctx context.Context, _, address string) (net.Conn, error) { return host.Dial(ctx, address) },
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     idleTimeout,
	}
}

// NewAPIClient makes a client of a node's API that dials from a host. The address is a
// host and a port; any other is a mistake of the caller.
func NewAPIClient(host environment.Host, address string) *api.Client {
	client, err := api.NewClient("http://"+address, api.WithClient(&http.Client{Transport: newTransport(host, 4)}))
	if err != nil {
		panic(err)
	}
	return client
}

// CodeOf returns the numbered code of a refused API call, -1 if there was no answer, and 0
// if it was not refused.
func CodeOf(err error) int {
	if problem := problemOf(err); problem != nil {
		return problem.Code
	}
	if err != nil {
		return -1
	}
	return 0
}

// problemOf returns the API's answer to a refused call; nil if there was none.
func problemOf(err error) *api.Problem {
	var problem *api.ProblemStatusCodeWithHeaders
	if errors.As(err, &problem) {
		return &problem.Response
	}
	return nil
}
