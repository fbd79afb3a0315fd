package main

import (
	"encoding/json"
	"errors"

	"github.com/urfave/cli/v3"

	"github.com/sumactrestle/sumactrestle/internal/api"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
)

// newClient returns a client of the API at the address given by --api.
func newClient(cmd *cli.Command) (*api.Client, error) {
	if cmd.String("api") == "" {
		return nil, errcode.New(errcode.InvalidCall, "--api is empty; see %s --help", cmd.FullName())
	}
	client, err := api.NewClient("http://" + cmd.String("api"))
	if err != nil {
		return nil, errcode.New(errcode.InvalidCall, "--api: %v", err)
	}
	return client, nil
}

// fromAPI converts an error of the API client to an errcode.Error. An error without a response
// becomes an errcode.Unreachable.
func fromAPI(err error) error {
	var problem *api.ProblemStatusCodeWithHeaders
	if errors.As(err, &problem) {
		code, ok := errcode.Codes[problem.Response.Code]
		if !ok {
			code = errcode.Internal
		}
		return &errcode.Error{Code: code, Note: problem.Response.Note.Or(""), Paths: problem.Response.Paths}
	}
	if err != nil {
		return errcode.New(errcode.Unreachable, "%v", err)
	}
	return nil
}

// convert copies a value to another type that has the same JSON encoding.
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
