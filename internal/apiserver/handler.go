package apiserver

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/daisyfold/daisyfold/internal/api"
	"github.com/daisyfold/daisyfold/internal/apierror"
	"github.com/daisyfold/daisyfold/internal/auth"
	"github.com/ogen-go/ogen/ogenerrors"
)

// maxBodyBytes bounds the body of every request.
const maxBodyBytes = 1 << 20

// server implements api.Handler and api.SecurityHandler.
type server struct{ Deps }

var (
	_ api.Handler         = (*server)(nil)
	_ api.SecurityHandler = (*server)(nil)
)

// NewHandler returns the HTTP handler of the API, with the readiness endpoint at
// /readyz.
func NewHandler(deps Deps) http.Handler {
	s := &server{Deps: deps}
	routes, err := api.NewServer(s, s,
		api.WithErrorHandler(s.writeDecodeError),
		api.WithNotFound(s.writeNotFound),
		api.WithMethodNotAllowed(s.writeMethodNotAllowed),
	)
	if err != nil {
		// NewServer fails only on options, which are fixed above.
		panic(fmt.Sprintf("the API cannot be set up: %v", err))
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /readyz", s.readyz)
	mux.Handle("/", s.boundBody(routes))
	return mux
}

// boundBody refuses bodies over the bound, at once if their length is declared.
func (s *server) boundBody(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength > maxBodyBytes {
			s.writeError(w, r, tooLarge())
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		next.ServeHTTP(w, r)
	})
}

func (s *server) readyz(w http.ResponseWriter, _ *http.Request) {
	if err := s.readiness(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

func (s *server) readiness() error {
	if s.Config() == nil {
		return errors.New("no configuration")
	}
	if s.Ready == nil {
		return nil
	}
	return s.Ready()
}

// bearerKey carries the key of a caller before any text is in force.
type bearerKey struct{}

// HandleBearer finds the holder of a key. Without a configuration only the first text
// can be published, and publishConfig checks the key itself.
func (s *server) HandleBearer(ctx context.Context, operation api.OperationName, t api.Bearer) (context.Context, error) {
	current := s.Config()
	if current == nil {
		if operation != api.PublishConfigOperation {
			return nil, noConfiguration()
		}
		return context.WithValue(ctx, bearerKey{}, t.Token), nil
	}
	identity, ok := auth.Identify(current.Parsed, t.Token)
	if !ok {
		return nil, unauthorised()
	}
	return auth.WithIdentity(ctx, identity), nil
}

// NewError returns the answer for an error of a handler or of the key check.
func (s *server) NewError(_ context.Context, err error) *api.ErrorStatusCode {
	var typed *apierror.Error
	var security *ogenerrors.SecurityError
	switch {
	case errors.As(err, &typed):
		return errorAnswer(typed, "")
	case errors.As(err, &security) && s.Config() == nil:
		return errorAnswer(noConfiguration(), "")
	case errors.As(err, &security):
		return errorAnswer(unauthorised(), "")
	default:
		return errorAnswer(asAPIError(err), "")
	}
}

func (s *server) writeDecodeError(_ context.Context, w http.ResponseWriter, r *http.Request, err error) {
	s.writeError(w, r, decodeError(err))
}

func (s *server) writeNotFound(w http.ResponseWriter, r *http.Request) {
	s.writeError(w, r, apierror.NotRun(apierror.CodeNotFound, "there is nothing at %s", r.URL.Path))
}

func (s *server) writeMethodNotAllowed(w http.ResponseWriter, r *http.Request, allowed string) {
	w.Header().Set("Allow", allowed)
	e := apierror.NotRun(apierror.CodeBadInput, "%s is not possible here; allowed are %s", r.Method, allowed)
	s.writeStatus(w, r, e, http.StatusMethodNotAllowed)
}

func (s *server) writeError(w http.ResponseWriter, r *http.Request, e *apierror.Error) {
	s.writeStatus(w, r, e, statusOf(e.Code))
}

func (s *server) writeStatus(w http.ResponseWriter, r *http.Request, e *apierror.Error, status int) {
	answer := errorAnswer(e, r.Header.Get("Request-Id"))
	body, err := answer.Response.MarshalJSON()
	if err != nil {
		http.Error(w, e.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
