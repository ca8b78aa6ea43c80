package cli

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"time"

	"github.com/daisyfold/daisyfold/internal/api"
	"github.com/daisyfold/daisyfold/internal/apierror"
)

const (
	dialTimeout = 3 * time.Second
	// callTimeout bounds one call. It is longer than the longest wait of the API,
	// 60 s, and than most deadlines of services; request has its own --timeout.
	callTimeout = 2 * time.Minute
)

// keySource sends the bearer key with each call.
type keySource string

// Bearer implements api.SecuritySource.
func (k keySource) Bearer(context.Context, api.OperationName) (api.Bearer, error) {
	return api.Bearer{Token: string(k)}, nil
}

// client returns a client for the daemons that the options name.
func (e *env) client() (*api.Client, error) {
	if len(e.Addresses) == 0 {
		return nil, badInput("no daemon is named: use --address or DAISYFOLD_ADDRESS")
	}
	if e.Key == "" {
		return nil, badInput("there is no key: use --key or DAISYFOLD_KEY")
	}
	doer, err := e.failover()
	if err != nil {
		return nil, err
	}
	return api.NewClient(doer.bases[0].String(), keySource(e.Key), api.WithClient(doer))
}

// call runs one call with a deadline.
func call[T any](e *env, f func(context.Context, *api.Client) (T, error)) (T, error) {
	var none T
	client, err := e.client()
	if err != nil {
		return none, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	return f(ctx, client)
}

// failover sends a request to the first daemon that takes it. It tries the next one
// only when the connection was refused or the daemon said that it is leaving or has no
// configuration; in each case nothing ran.
type failover struct {
	bases []*url.URL
	http  *http.Client
}

func (e *env) failover() (*failover, error) {
	f := &failover{}
	for _, address := range e.Addresses {
		base, err := url.Parse(address)
		if err != nil || base.Host == "" || (base.Scheme != "http" && base.Scheme != "https") {
			return nil, badInput("%q is not an http or https URL", address)
		}
		f.bases = append(f.bases, base)
	}
	transport, err := e.transport()
	if err != nil {
		return nil, err
	}
	f.http = &http.Client{Transport: transport}
	return f, nil
}

func (e *env) transport() (*http.Transport, error) {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.DialContext = (&net.Dialer{Timeout: dialTimeout}).DialContext
	// The standard transport repeats a request on a new connection when a kept one
	// breaks; each verb makes few calls, so connections are not kept.
	transport.DisableKeepAlives = true
	if e.CAFile == "" {
		return transport, nil
	}
	data, err := os.ReadFile(e.CAFile)
	if err != nil {
		return nil, badInput("%v", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, badInput("%s holds no certificate", e.CAFile)
	}
	transport.TLSClientConfig = &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: pool}
	return transport, nil
}

// Do implements the HTTP client of the generated API.
func (f *failover) Do(req *http.Request) (*http.Response, error) {
	body, err := readAll(req.Body)
	if err != nil {
		return nil, err
	}
	var resp *http.Response
	for _, base := range f.bases {
		next, nextErr := f.http.Do(aimAt(req, base, body))
		switch {
		case nextErr != nil && !refused(nextErr):
			return nil, nextErr
		case nextErr == nil && !turnedAway(next):
			return next, nil
		case nextErr == nil:
			resp, err = next, nil
		case resp == nil:
			err = nextErr
		}
	}
	return resp, err
}

// turnedAway reports whether a daemon takes no work now. The answer stays readable.
func turnedAway(resp *http.Response) bool {
	if resp.StatusCode != http.StatusServiceUnavailable {
		return false
	}
	data, err := readAll(resp.Body)
	resp.Body = io.NopCloser(bytes.NewReader(data))
	var answer api.Error
	if err != nil || answer.UnmarshalJSON(data) != nil || answer.Outcome != api.ErrorOutcomeNotRun {
		return false
	}
	code := apierror.Code(answer.Code)
	return code == apierror.CodeLeaving || code == apierror.CodeNoConfiguration
}

// aimAt returns a copy of the request for another daemon.
func aimAt(req *http.Request, base *url.URL, body []byte) *http.Request {
	copied := req.Clone(req.Context())
	copied.URL.Scheme = base.Scheme
	copied.URL.Host = base.Host
	copied.Host = base.Host
	copied.GetBody = nil
	copied.Body = nil
	if body != nil {
		copied.Body = io.NopCloser(bytes.NewReader(body))
		copied.ContentLength = int64(len(body))
	}
	return copied
}

func readAll(body io.ReadCloser) ([]byte, error) {
	if body == nil {
		return nil, nil
	}
	defer func() { _ = body.Close() }()
	return io.ReadAll(body)
}
