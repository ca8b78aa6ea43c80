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
	ID            string        `long:"id" value-name:"ID" description:"Id of the request; repeat an unknown outcome with the same id"`
	Body          string        `long:"body" value-name:"TEXT" description:"Body of the request"`
	BodyFile      string        `long:"body-file" value-name:"FILE" description:"File with the body, - for the standard input"`
	Timeout       time.Duration `long:"timeout" value-name:"DURATION" description:"Time for the answer, at most the service's deadline"`
	NonRepeatable bool          `long:"non-repeatable" description:"Run the request at most once, even if the service is repeatable"`
	Args          struct {
		Service string `positional-arg-name:"SERVICE" required:"yes"`
	} `positional-args:"yes"`
}

// requestResult is the JSON output of request. BodyBase64 is set instead of Body when
// the answer is not UTF-8 text.
type requestResult struct {
	ID         string `json:"id"`
	Status     int    `json:"status"`
	Body       string `json:"body,omitempty"`
	BodyBase64 []byte `json:"bodyBase64,omitempty"`
}

// answer is the whole answer of a target.
type answer struct {
	headers *api.CallServiceOKHeaders
	body    []byte
}

// maxTimeout is the longest timeout that the API takes.
const maxTimeout = 10 * time.Minute

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
	got, err := c.send(body, params)
	if err != nil {
		return withID(err, params.RequestID.Value)
	}
	if err := c.write(got); err != nil {
		return err
	}
	if status := got.headers.TargetStatus; status >= 400 {
		_, _ = fmt.Fprintf(c.env.stderr, "daisyfold: the target answered with status %d\n", status)
		return &failure{exit: exitFailed, quiet: true}
	}
	return nil
}

func (c *requestCommand) body() ([]byte, error) {
	if c.BodyFile == "" {
		return []byte(c.Body), nil
	}
	if c.Body != "" {
		return nil, badInput("--body and --body-file exclude each other")
	}
	return c.env.readInput(c.BodyFile)
}

func (c *requestCommand) params() (api.CallServiceParams, error) {
	params := api.CallServiceParams{
		Service:       c.Args.Service,
		RequestID:     api.NewOptString(orNewID(c.ID)),
		NonRepeatable: api.NewOptBool(c.NonRepeatable),
	}
	if c.Timeout < 0 || c.Timeout > maxTimeout {
		return params, badInput("--timeout must be at most %s", maxTimeout)
	}
	if c.Timeout > 0 {
		params.TimeoutMs = api.NewOptInt(max(1, int(c.Timeout.Milliseconds())))
	}
	return params, nil
}

func (c *requestCommand) send(body []byte, params api.CallServiceParams) (answer, error) {
	client, err := c.env.client()
	if err != nil {
		return answer{}, err
	}
	p := c.env.progress("waiting for the answer of " + c.Args.Service)
	defer p.stop()
	// The daemon ends the request at its own timeout; the margin lets its answer arrive.
	ctx, cancel := context.WithTimeout(context.Background(), max(callTimeout, c.Timeout+dialTimeout))
	defer cancel()
	headers, err := client.CallService(ctx, api.CallServiceReq{Data: bytes.NewReader(body)}, params)
	if err != nil {
		return answer{}, err
	}
	data, err := io.ReadAll(headers.Response)
	return answer{headers, data}, err
}

func (c *requestCommand) write(got answer) error {
	result := requestResult{ID: got.headers.RequestID, Status: got.headers.TargetStatus}
	if utf8.Valid(got.body) {
		result.Body = string(got.body)
	} else {
		result.BodyBase64 = got.body
	}
	return c.env.print(result, func(w io.Writer) { _, _ = w.Write(got.body) })
}
