// Package peerserver answers the calls of other entry hosts.
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

const (
	// maxBodyBytes bounds a request's body.
	maxBodyBytes = 1 << 20
	// callTimeout bounds the work on one request.
	callTimeout       = 2 * time.Second
	readHeaderTimeout = 2 * time.Second
	idleTimeout       = 2 * time.Minute
	// maxOutcomeBytes is the largest answer that is passed to a peer.
	maxOutcomeBytes = 64 << 10
	// maxReasons and maxDetailBytes bound an answer to Explain.
	maxReasons     = 8
	maxDetailBytes = 1 << 10
)

// Members answers heartbeats.
type Members interface {
	HandleHeartbeat(*peer.HostReport) *peer.HostReport
}

// Configs answers FetchConfig.
type Configs interface {
	HandleFetch(*peer.FetchConfigRequest) *peer.ConfigText
}

// Copies holds records for peers.
type Copies interface {
	Store([]journal.StreamRecord) bool
}

// Relay appends records for hosts that cannot reach the log.
type Relay interface {
	// Relay returns whether the record is in the log and whether it counts.
	Relay(ctx context.Context, r journal.StreamRecord) (recorded, won bool)
}

// CallOutcome is what this host knows of a request. Outcome is ran, not_run,
// unknown or in_progress.
type CallOutcome struct {
	Outcome string
	Status  int
	Body    []byte
}

// Outcomes knows the requests that this host sent.
type Outcomes interface {
	Outcome(org model.Organisation, request string) CallOutcome
}

// Reasons knows why this host's planner left jobs where they are.
type Reasons interface {
	// Reasons returns the last reasons of a job, oldest first.
	Reasons(model.JobKey) []model.Reason
}

// Server implements peer.Peer. Outcomes may be nil: every outcome is then unknown.
// Reasons may be nil: no job then has any.
type Server struct {
	Members  Members
	Configs  Configs
	Copies   Copies
	Outcomes Outcomes
	Reasons  Reasons
	Relay    Relay
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
	for _, x := range r.Records {
		rec, err := readRecord(x)
		if err != nil {
			return nil, err
		}
		records = append(records, rec)
	}
	return &peer.CopyRecordsAnswer{Stored: s.Copies.Store(records)}, nil
}

func readRecord(x *peer.StreamRecord) (journal.StreamRecord, error) {
	var rec journal.Record
	if err := json.Unmarshal(x.Data, &rec); err != nil || rec.ID == "" {
		return journal.StreamRecord{}, twirp.InvalidArgumentError("records", "a record is not readable")
	}
	return journal.StreamRecord{Stream: journal.Stream(x.Stream), Record: rec}, nil
}

// RelayRecord implements peer.Peer.
func (s *Server) RelayRecord(ctx context.Context, r *peer.StreamRecord) (*peer.RelayRecordAnswer, error) {
	rec, err := readRecord(r)
	if err != nil {
		return nil, err
	}
	recorded, won := s.Relay.Relay(ctx, rec)
	return &peer.RelayRecordAnswer{Recorded: recorded, Won: won}, nil
}

// CallOutcome implements peer.Peer.
func (s *Server) CallOutcome(_ context.Context, r *peer.CallOutcomeRequest) (*peer.CallOutcomeAnswer, error) {
	if s.Outcomes == nil {
		return &peer.CallOutcomeAnswer{Outcome: string(model.OutcomeUnknown)}, nil
	}
	o := s.Outcomes.Outcome(model.Organisation(r.Organisation), r.Request)
	if len(o.Body) > maxOutcomeBytes {
		// Status 0 tells the peer that the answer was not kept.
		return &peer.CallOutcomeAnswer{Outcome: o.Outcome}, nil
	}
	return &peer.CallOutcomeAnswer{Outcome: o.Outcome, Status: int32(o.Status), Body: o.Body}, nil
}

// Explain implements peer.Peer.
func (s *Server) Explain(_ context.Context, r *peer.ExplainRequest) (*peer.ExplainAnswer, error) {
	answer := &peer.ExplainAnswer{}
	if s.Reasons == nil {
		return answer, nil
	}
	key := model.JobKey{Organisation: model.Organisation(r.Organisation), ID: model.JobID(r.Job)}
	all := s.Reasons.Reasons(key)
	for _, x := range all[max(0, len(all)-maxReasons):] {
		detail := strings.ToValidUTF8(x.Detail[:min(len(x.Detail), maxDetailBytes)], "")
		answer.Reasons = append(answer.Reasons, &peer.ExplainReason{
			Code: string(x.Code), Detail: detail, UnixMs: x.UnixMS,
		})
	}
	return answer, nil
}

// Handler returns the HTTP handler of the peer API, below peer.PeerPathPrefix.
func Handler(s peer.Peer) http.Handler {
	return quiet(http.TimeoutHandler(
		http.MaxBytesHandler(peer.NewPeerServer(s), maxBodyBytes), callTimeout, ""))
}

// quiet leaves out the Date header, which changes every second and would be most
// of a heartbeat's answer.
func quiet(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header()["Date"] = nil
		h.ServeHTTP(w, r)
	})
}

// NewHTTPServer returns a server that speaks HTTP/2, which the peers' clients use, with
// and without TLS.
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
