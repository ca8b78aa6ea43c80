package model

import "fmt"

// Zone is the name of an availability zone.
type Zone string

// Organisation is the name of an organisation.
type Organisation string

// Service is the name of a service in the configuration.
type Service string

// HostID identifies an entry host.
type HostID string

// WorkerID identifies a worker.
type WorkerID string

// TargetID identifies a target.
type TargetID string

// JobID identifies a job within its organisation. It is chosen by the caller or
// assigned on submission.
type JobID string

// JobKey identifies a job within the deployment.
type JobKey struct {
	Organisation Organisation `json:"organisation"`
	ID           JobID        `json:"id"`
}

// String returns "organisation/id".
func (k JobKey) String() string { return string(k.Organisation) + "/" + string(k.ID) }

// ShardID identifies a shard: a group of at most MaxWorkersPerShard workers of one zone.
type ShardID struct {
	Zone  Zone `json:"zone"`
	Index int  `json:"index"`
}

// String returns "zone#index".
func (s ShardID) String() string { return fmt.Sprintf("%s#%d", s.Zone, s.Index) }

// MaxWorkersPerShard is the number of workers whose leases one planner can renew: with
// one renewal per worker every 10 s, 300 workers keep a host's control traffic below
// 20 KB/s.
const MaxWorkersPerShard = 300

// FencingToken is a worker's fencing token. The worker increments it each time its
// lease passes to another holder and rejects calls that carry a lower token.
type FencingToken uint64
