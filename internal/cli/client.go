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
	// callTimeout is the timeout of one API call. It is longer than the longest wait of
	// the API, 60 s, and than most deadlines of services. The command request has its own
	// --timeout.
	callTimeout = 2 * time.Minute
)

// bearerKey is the bearer key that is sent with each call.
type bearerKey string

// Bearer implements api.SecuritySource.
func (k bearerKey) Bearer(context.Context, api.OperationName) (api.Bearer, error) {
	return api.Bearer{Token: string(k)}, nil
}

// newAPIClient returns a client for the daemons in the --address option.
func (e *env) newAPIClient() (*api.Client, error) {
	if len(e.Addresses) == 0 {
		return nil, badInputError("no daemon address is set: use --address or DAISYFOLD_ADDRESS")
	}
	if e.Key == "" {
		return nil, badInputError("there is no key: use --key or DAISYFOLD_KEY")
	}
	httpClient, err := e.newFailoverClient()
	if err != nil {
		return nil, err
	}
	return api.NewClient(httpClient.baseURLs[0].String(), bearerKey(e.Key), api.WithClient(httpClient))
}

// callAPI calls f with an API client and a context that ends after callTimeout.
func callAPI[T any](e *env, f func(context.Context, *api.Client) (T, error)) (T, error) {
	var zero T
	client, err := e.newAPIClient()
	if err != nil {
		return zero, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	return f(ctx, client)
}

// failoverClient sends a request to the first daemon that accepts it. It tries the next
// daemon only if no connection could be made, or if the daemon is leaving or has no
// configuration; in each of these cases the request did not run.
type failoverClient struct {
	baseURLs []*url.URL
	http     *http.Client
}

func (e *env) newFailoverClient() (*failoverClient, error) {
	f := &failoverClient{}
	for _, address := range e.Addresses {
		base, err := url.Parse(address)
		if err != nil || base.Host == "" || (base.Scheme != "http" && base.Scheme != "https") {
			return nil, badInputError("%q is not an http or https URL", address)
		}
		f.baseURLs = append(f.baseURLs, base)
	}
	transport, err := e.newTransport()
	if err != nil {
		return nil, err
	}
	f.http = &http.Client{Transport: transport}
	return f, nil
}

func (e *env) newTransport() (*http.Transport, error) {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.DialContext = (&net.Dialer{Timeout: dialTimeout}).DialContext
	// The standard transport may repeat a request on a new connection if a kept-alive one
	// breaks. Each command makes few calls, so connections need not be kept alive.
	transport.DisableKeepAlives = true
	if e.CAFile == "" {
		return transport, nil
	}
	data, err := os.ReadFile(e.CAFile)
	if err != nil {
		return nil, badInputError("%v", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, badInputError("%s contains no certificate", e.CAFile)
	}
	transport.TLSClientConfig = &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: pool}
	return transport, nil
}

// Do implements the HTTP client interface of the generated API. If no daemon accepts the
// request, it returns the last response or, without one, the last dial error.
func (f *failoverClient) Do(req *http.Request) (*http.Response, error) {
	body, err := readAll(req.Body)
	if err != nil {
		return nil, err
	}
	var resp *http.Response
	for _, base := range f.baseURLs {
		next, nextErr := f.http.Do(cloneRequestFor(req, base, body))
		switch {
		case nextErr != nil && !isDialError(nextErr):
			return nil, nextErr
		case nextErr == nil && !isUnavailable(next):
			return next, nil
		case nextErr == nil:
			resp, err = next, nil
		case resp == nil:
			err = nextErr
		}
	}
	return resp, err
}

// isUnavailable reports whether a daemon responded that it is leaving or has no
// configuration. The body of the response can still be read.
func isUnavailable(resp *http.Response) bool {
	if resp.StatusCode != http.StatusServiceUnavailable {
		return false
	}
	data, err := readAll(resp.Body)
	resp.Body = io.NopCloser(bytes.NewReader(data))
	var body api.Error
	if err != nil || body.UnmarshalJSON(data) != nil || body.Outcome != api.ErrorOutcomeNotRun {
		return false
	}
	code := apierror.Code(body.Code)
	return code == apierror.CodeLeaving || code == apierror.CodeNoConfiguration
}

// cloneRequestFor returns a copy of the request for the daemon at base.
func cloneRequestFor(req *http.Request, base *url.URL, body []byte) *http.Request {
	clone := req.Clone(req.Context())
	clone.URL.Scheme = base.Scheme
	clone.URL.Host = base.Host
	clone.Host = base.Host
	clone.GetBody = nil
	clone.Body = nil
	if body != nil {
		clone.Body = io.NopCloser(bytes.NewReader(body))
		clone.ContentLength = int64(len(body))
	}
	return clone
}

// readAll reads and closes body, which may be nil.
func readAll(body io.ReadCloser) ([]byte, error) {
	if body == nil {
		return nil, nil
	}
	defer func() { _ = body.Close() }()
	return io.ReadAll(body)
}
