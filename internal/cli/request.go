package cli

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"time"
	"unicode/utf8"

	"github.com/daisyfold/daisyfold/internal/api"
)

type requestCommand struct {
	env           *env
	ID            string        `long:"id" value-name:"ID" description:"Id of the request; use the same id to repeat it after an unknown outcome"`
	Body          string        `long:"body" value-name:"TEXT" description:"Body of the request"`
	BodyFile      string        `long:"body-file" value-name:"FILE" description:"File with the body, - for standard input"`
	Timeout       time.Duration `long:"timeout" value-name:"DURATION" description:"Time limit for the response, at most the service's deadline"`
	NonRepeatable bool          `long:"non-repeatable" description:"Run the request at most once, even if the service is repeatable"`
	Args          struct {
		Service string `positional-arg-name:"SERVICE" required:"yes"`
	} `positional-args:"yes"`
}

// requestResult is the JSON output of request. BodyBase64 is set instead of Body if the
// response is not UTF-8 text.
type requestResult struct {
	ID         string `json:"id"`
	Status     int    `json:"status"`
	Body       string `json:"body,omitempty"`
	BodyBase64 []byte `json:"bodyBase64,omitempty"`
}

// targetResponse is the response of a target.
type targetResponse struct {
	headers *api.CallServiceOKHeaders
	body    []byte
}

// maxRequestTimeout is the longest timeout that the API accepts.
const maxRequestTimeout = 10 * time.Minute

// Execute implements flags.Commander.
func (c *requestCommand) Execute([]string) error {
	body, err := c.body()
	if err != nil {
		return err
	}
	params, err := c.params()
	if err != nil {
		return err
	}
	response, err := c.send(body, params)
	if err != nil {
		return withRequestID(err, params.RequestID.Value)
	}
	if err := c.write(response); err != nil {
		return err
	}
	if status := response.headers.TargetStatus; status >= 400 {
		_, _ = fmt.Fprintf(c.env.stderr, "daisyfold: the target responded with status %d\n", status)
		return &commandError{exitCode: exitFailed, printed: true}
	}
	return nil
}

func (c *requestCommand) body() ([]byte, error) {
	if c.BodyFile == "" {
		return []byte(c.Body), nil
	}
	if c.Body != "" {
		return nil, badInputError("--body and --body-file are mutually exclusive")
	}
	return c.env.readInput(c.BodyFile)
}

func (c *requestCommand) params() (api.CallServiceParams, error) {
	params := api.CallServiceParams{
		Service:       c.Args.Service,
		RequestID:     api.NewOptString(idOrNew(c.ID)),
		NonRepeatable: api.NewOptBool(c.NonRepeatable),
	}
	if c.Timeout < 0 || c.Timeout > maxRequestTimeout {
		return params, badInputError("--timeout must be at most %s", maxRequestTimeout)
	}
	if c.Timeout > 0 {
		params.TimeoutMs = api.NewOptInt(max(1, int(c.Timeout.Milliseconds())))
	}
	return params, nil
}

func (c *requestCommand) send(body []byte, params api.CallServiceParams) (targetResponse, error) {
	client, err := c.env.newAPIClient()
	if err != nil {
		return targetResponse{}, err
	}
	p := c.env.progress("waiting for the response of " + c.Args.Service)
	defer p.stop()
	// The daemon ends the request at the timeout; the margin leaves time for its response.
	ctx, cancel := context.WithTimeout(context.Background(), max(callTimeout, c.Timeout+dialTimeout))
	defer cancel()
	headers, err := client.CallService(ctx, api.CallServiceReq{Data: bytes.NewReader(body)}, params)
	if err != nil {
		return targetResponse{}, err
	}
	data, err := io.ReadAll(headers.Response)
	return targetResponse{headers, data}, err
}

func (c *requestCommand) write(response targetResponse) error {
	result := requestResult{ID: response.headers.RequestID, Status: response.headers.TargetStatus}
	if utf8.Valid(response.body) {
		result.Body = string(response.body)
	} else {
		result.BodyBase64 = response.body
	}
	return c.env.print(result, func(w io.Writer) { _, _ = w.Write(response.body) })
}
