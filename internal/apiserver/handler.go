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

// maxBodyBytes is the largest request body that is accepted.
const maxBodyBytes = 1 << 20

// server implements api.Handler and api.SecurityHandler.
type server struct{ Deps }

var (
	_ api.Handler         = (*server)(nil)
	_ api.SecurityHandler = (*server)(nil)
)

// NewHandler returns the HTTP handler of the API and of the readiness endpoint /readyz.
func NewHandler(deps Deps) http.Handler {
	s := &server{Deps: deps}
	routes, err := api.NewServer(s, s,
		api.WithErrorHandler(s.writeDecodeError),
		api.WithNotFound(s.writeNotFound),
		api.WithMethodNotAllowed(s.writeMethodNotAllowed),
	)
	if err != nil {
		// NewServer fails only on options, which are fixed above.
		panic(fmt.Sprintf("cannot create the API server: %v", err))
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /readyz", s.handleReadyz)
	mux.Handle("/", s.limitBody(routes))
	return mux
}

// limitBody rejects bodies over maxBodyBytes. A body whose declared length exceeds the
// limit is rejected without being read.
func (s *server) limitBody(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength > maxBodyBytes {
			s.writeError(w, r, bodyTooLargeError())
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		next.ServeHTTP(w, r)
	})
}

func (s *server) handleReadyz(w http.ResponseWriter, _ *http.Request) {
	if err := s.checkReady(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

// checkReady returns nil, or an error that states why the host should get no new work.
func (s *server) checkReady() error {
	if s.Config() == nil {
		return errors.New("no configuration")
	}
	if s.Ready == nil {
		return nil
	}
	return s.Ready()
}

// bearerContextKey is the context key of the caller's bearer key. The value is set only
// while the host has no configuration.
type bearerContextKey struct{}

// HandleBearer implements api.SecurityHandler. It adds the identity of the caller to the
// context. While the host has no configuration it accepts only publishConfig, whose
// handler checks the key.
func (s *server) HandleBearer(ctx context.Context, operation api.OperationName, t api.Bearer) (context.Context, error) {
	current := s.Config()
	if current == nil {
		if operation != api.PublishConfigOperation {
			return nil, noConfigurationError()
		}
		return context.WithValue(ctx, bearerContextKey{}, t.Token), nil
	}
	identity, ok := auth.Identify(current.Parsed, t.Token)
	if !ok {
		return nil, unauthorisedError()
	}
	return auth.WithIdentity(ctx, identity), nil
}

// NewError implements api.Handler. It converts an error of a handler or of HandleBearer to
// a response.
func (s *server) NewError(_ context.Context, err error) *api.ErrorStatusCode {
	var typed *apierror.Error
	var security *ogenerrors.SecurityError
	switch {
	case errors.As(err, &typed):
		return errorResponse(typed, "")
	case errors.As(err, &security) && s.Config() == nil:
		return errorResponse(noConfigurationError(), "")
	case errors.As(err, &security):
		return errorResponse(unauthorisedError(), "")
	default:
		return errorResponse(toAPIError(err), "")
	}
}

func (s *server) writeDecodeError(_ context.Context, w http.ResponseWriter, r *http.Request, err error) {
	s.writeError(w, r, decodeError(err))
}

func (s *server) writeNotFound(w http.ResponseWriter, r *http.Request) {
	s.writeError(w, r, apierror.NotRun(apierror.CodeNotFound, "there is no resource at %s", r.URL.Path))
}

func (s *server) writeMethodNotAllowed(w http.ResponseWriter, r *http.Request, allowed string) {
	w.Header().Set("Allow", allowed)
	e := apierror.NotRun(apierror.CodeBadInput, "method %s is not allowed here; allowed methods: %s", r.Method, allowed)
	s.writeErrorStatus(w, r, e, http.StatusMethodNotAllowed)
}

func (s *server) writeError(w http.ResponseWriter, r *http.Request, e *apierror.Error) {
	s.writeErrorStatus(w, r, e, httpStatus(e.Code))
}

// writeErrorStatus writes an error response with the given HTTP status code.
func (s *server) writeErrorStatus(w http.ResponseWriter, r *http.Request, e *apierror.Error, status int) {
	response := errorResponse(e, r.Header.Get("Request-Id"))
	body, err := response.Response.MarshalJSON()
	if err != nil {
		http.Error(w, e.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
