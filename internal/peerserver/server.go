// Package peerserver serves the RPC API that entry hosts call on each other.
package peerserver

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/daisyfold/daisyfold/internal/journal"
	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/daisyfold/daisyfold/internal/rpc/peer"
)

// Size limits.
const (
	// maxBodyBytes limits the body of a request.
	maxBodyBytes = 1 << 20
	// maxOutcomeBodyBytes limits the response body in a CallOutcomeAnswer.
	maxOutcomeBodyBytes = 64 << 10
	// maxDetailBytes limits the detail of a reason in an ExplainAnswer.
	maxDetailBytes = 1 << 10
)

// maxReasons is the maximum number of reasons in an ExplainAnswer.
const maxReasons = 8

// Timeouts.
const (
	// callTimeout limits the handling of one request.
	callTimeout       = 2 * time.Second
	readHeaderTimeout = 2 * time.Second
	idleTimeout       = 2 * time.Minute
)

// HeartbeatHandler handles heartbeats and returns this host's report.
type HeartbeatHandler interface {
	HandleHeartbeat(*peer.HostReport) *peer.HostReport
}

// ConfigFetchHandler handles FetchConfig.
type ConfigFetchHandler interface {
	HandleFetch(*peer.FetchConfigRequest) *peer.ConfigText
}

// RecordStore stores copies of the records of peers.
type RecordStore interface {
	// Store reports whether the records were stored.
	Store([]journal.StreamRecord) bool
}

// RecordRelay appends records on behalf of hosts that cannot reach the log.
type RecordRelay interface {
	// Relay appends a record. recorded reports whether the record is in the log, and
	// effective whether it took effect; see jobs.Service.AppendForPeer.
	Relay(ctx context.Context, r journal.StreamRecord) (recorded, effective bool)
}

// CallOutcome is what this host knows about a request. Outcome is a value of
// calls.PeerOutcome: ran, not_run, unknown, in_progress or none. Status and Body are the
// HTTP response of the target; Status is 0 if the response was not kept.
type CallOutcome struct {
	Outcome string
	Status  int
	Body    []byte
}

// OutcomeProvider provides the outcomes of requests, as this host knows them.
type OutcomeProvider interface {
	// Outcome returns the outcome of an organisation's request. If this host has not sent
	// the request, it will not send it from now on.
	Outcome(org model.Organisation, requestID string) CallOutcome
}

// ReasonProvider provides the reasons why this host's planner did not place or move jobs.
type ReasonProvider interface {
	// Reasons returns the last reasons of a job, oldest first.
	Reasons(model.JobKey) []model.Reason
}

// Server implements peer.Peer. If Outcomes is nil, every outcome is unknown. If Reasons is
// nil, no job has reasons.
type Server struct {
	Members  HeartbeatHandler
	Configs  ConfigFetchHandler
	Copies   RecordStore
	Outcomes OutcomeProvider
	Reasons  ReasonProvider
	Relay    RecordRelay
}

var _ peer.Peer = (*Server)(nil)

// Heartbeat implements peer.Peer.
func (s *Server) Heartbeat(_ context.Context, r *peer.HostReport) (*peer.HostReport, error) {
	if r.Host == "" || r.Zone == "" {
		return nil, twirp.RequiredArgumentError("host and zone")
	}
	return s.Members.HandleHeartbeat(r), nil
}

// FetchConfig implements peer.Peer.
func (s *Server) FetchConfig(_ context.Context, r *peer.FetchConfigRequest) (*peer.ConfigText, error) {
	return s.Configs.HandleFetch(r), nil
}

// CopyRecords implements peer.Peer.
func (s *Server) CopyRecords(_ context.Context, r *peer.CopyRecordsRequest) (*peer.CopyRecordsAnswer, error) {
	records := make([]journal.StreamRecord, 0, len(r.Records))
	for _, record := range r.Records {
		decoded, err := decodeRecord(record)
		if err != nil {
			return nil, err
		}
		records = append(records, decoded)
	}
	return &peer.CopyRecordsAnswer{Stored: s.Copies.Store(records)}, nil
}

// decodeRecord decodes a record, or returns an invalid_argument error.
func decodeRecord(record *peer.StreamRecord) (journal.StreamRecord, error) {
	var rec journal.Record
	if err := json.Unmarshal(record.Data, &rec); err != nil || rec.ID == "" {
		return journal.StreamRecord{}, twirp.InvalidArgumentError("records", "a record cannot be decoded")
	}
	return journal.StreamRecord{Stream: journal.Stream(record.Stream), Record: rec}, nil
}

// RelayRecord implements peer.Peer.
func (s *Server) RelayRecord(ctx context.Context, r *peer.StreamRecord) (*peer.RelayRecordAnswer, error) {
	rec, err := decodeRecord(r)
	if err != nil {
		return nil, err
	}
	recorded, effective := s.Relay.Relay(ctx, rec)
	return &peer.RelayRecordAnswer{Recorded: recorded, Won: effective}, nil
}

// CallOutcome implements peer.Peer.
func (s *Server) CallOutcome(_ context.Context, r *peer.CallOutcomeRequest) (*peer.CallOutcomeAnswer, error) {
	if s.Outcomes == nil {
		return &peer.CallOutcomeAnswer{Outcome: string(model.OutcomeUnknown)}, nil
	}
	outcome := s.Outcomes.Outcome(model.Organisation(r.Organisation), r.Request)
	if len(outcome.Body) > maxOutcomeBodyBytes {
		// Status 0 tells the peer that the response was not kept.
		return &peer.CallOutcomeAnswer{Outcome: outcome.Outcome}, nil
	}
	return &peer.CallOutcomeAnswer{Outcome: outcome.Outcome, Status: int32(outcome.Status), Body: outcome.Body}, nil
}

// Explain implements peer.Peer.
func (s *Server) Explain(_ context.Context, r *peer.ExplainRequest) (*peer.ExplainAnswer, error) {
	answer := &peer.ExplainAnswer{}
	if s.Reasons == nil {
		return answer, nil
	}
	key := model.JobKey{Organisation: model.Organisation(r.Organisation), ID: model.JobID(r.Job)}
	all := s.Reasons.Reasons(key)
	for _, reason := range all[max(0, len(all)-maxReasons):] {
		detail := strings.ToValidUTF8(reason.Detail[:min(len(reason.Detail), maxDetailBytes)], "")
		answer.Reasons = append(answer.Reasons, &peer.ExplainReason{
			Code: string(reason.Code), Detail: detail, UnixMs: reason.UnixMS,
		})
	}
	return answer, nil
}

// Handler returns the HTTP handler of the peer API, below peer.PeerPathPrefix.
func Handler(s peer.Peer) http.Handler {
	return withoutDateHeader(http.TimeoutHandler(
		http.MaxBytesHandler(peer.NewPeerServer(s), maxBodyBytes), callTimeout, ""))
}

// withoutDateHeader removes the Date header from the responses. The header changes every
// second and would be most of the response to a heartbeat.
func withoutDateHeader(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header()["Date"] = nil
		h.ServeHTTP(w, r)
	})
}

// NewHTTPServer returns a server that supports HTTP/1 and, with and without TLS, HTTP/2,
// which the peers use.
func NewHTTPServer(h http.Handler) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler: h, Protocols: protocols,
		ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout,
	}
}
