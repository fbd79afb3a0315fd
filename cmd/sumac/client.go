package main

import (
	"encoding/json"
	"errors"

	"github.com/urfave/cli/v3"

	"github.com/sumactrestle/sumactrestle/internal/api"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
)

// newClient is a client of the API at --api.
func newClient(cmd *cli.Command) (*api.Client, error) {
	if cmd.String("api") == "" {
		return nil, errcode.New(errcode.InvalidCall, "--api names no address; see %s --help", cmd.FullName())
	}
	c, err := api.NewClient("http://" + cmd.String("api"))
	if err != nil {
		return nil, errcode.New(errcode.InvalidCall, "--api: %v", err)
	}
	return c, nil
}

// fromAPI turns a refused call back into its problem.
func fromAPI(err error) error {
	var p *api.ProblemStatusCodeWithHeaders
	if errors.As(err, &p) {
		code, ok := errcode.Codes[p.Response.Code]
		if !ok {
			code = errcode.Internal
		}
		return &errcode.Error{Code: code, Note: p.Response.Note.Or(""), Paths: p.Response.Paths}
	}
	if err != nil {
		return errcode.New(errcode.Unreachable, "%v", err)
	}
	return nil
}

// convert turns one shape of data into another that has the same JSON.
func convert(from, into any) error {
	raw, err := json.Marshal(from)
	if err == nil {
		err = json.Unmarshal(raw, into)
	}
	if err != nil {
		return errcode.New(errcode.InvalidCall, "%v", err)
	}
	return nil
}
