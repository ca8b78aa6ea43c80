package model

import "fmt"

// Zone is the name of an availability zone.
type Zone string

// Organisation is the name of an organisation.
type Organisation string

// Service is the name of a service in the operators' text.
type Service string

// HostID identifies one entry host.
type HostID string

// WorkerID identifies one worker.
type WorkerID string

// TargetID identifies one target.
type TargetID string

// JobID is chosen by the caller or assigned when the job is submitted. It is
// unique within an organisation; JobKey is unique in the deployment.
type JobID string

// JobKey names a job across organisations.
type JobKey struct {
	Organisation Organisation `json:"organisation"`
	ID           JobID        `json:"id"`
}

// String returns "organisation/id".
func (k JobKey) String() string { return string(k.Organisation) + "/" + string(k.ID) }

// ShardID names a group of at most MaxShardWorkers workers of one zone.
type ShardID struct {
	Zone  Zone `json:"zone"`
	Index int  `json:"index"`
}

// String returns "zone#index".
func (s ShardID) String() string { return fmt.Sprintf("%s#%d", s.Zone, s.Index) }

// MaxShardWorkers bounds how many workers one planner renews: at one renewal a
// worker each 10 s, 300 workers keep a host's control traffic below 20 KB/s.
const MaxShardWorkers = 300

// Token is a worker's fencing token. The worker raises it each time its lease
// passes to another holder and refuses calls that carry an older one.
type Token uint64
