// Package view holds the immutable values that the control goroutine
// publishes to traffic goroutines and operators.
package view

import (
	"primrosedale.example/primrosedale/core/fleet"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/rules"
)

// View is the part of the control state that traffic goroutines may read. It and
// everything it points to are immutable once published.
type View struct {
	// Ready is true while calls can be passed to a leader.
	Ready bool
	// BodyLimit is the maximum size of the body of a call in bytes, 0 if not known.
	BodyLimit  int64
	Rules      *rules.Rules
	Teams      map[model.Digest]model.TeamID // by hash of the key; only valid keys of teams in the rules
	Leader     model.HostID                  // empty if unknown
	Term       uint64
	Applied    uint64
	LeaseUntil model.Time // end of the serving lease; no new work starts on this host from then on
	Stopping   bool       // a graceful stop has begun
}

// Serving reports whether new work may start on this host at time now.
func (v *View) Serving(now model.Time) bool { return now < v.LeaseUntil }

// Status describes the system for operators, as known to one host.
type Status struct {
	Host       model.HostID            `json:"host"`
	DataCentre model.DataCentreID      `json:"data_centre"`
	Role       string                  `json:"role"`
	Leader     model.HostID            `json:"leader"`
	Term       uint64                  `json:"term"`
	Applied    uint64                  `json:"applied"`
	Commit     uint64                  `json:"commit"`
	Revision   uint64                  `json:"revision"`
	RulesHash  model.Digest            `json:"rules_hash"`
	InForce    bool                    `json:"in_force"` // every host has applied the revision or lost its lease; set on the leader only
	Serving    bool                    `json:"serving"`
	Voters     []model.HostID          `json:"voters"`
	Out        []model.DataCentreID    `json:"data_centres_out,omitempty"` // taken out of service by the rules
	Hosts      []HostStatus            `json:"entry_hosts,omitempty"`      // set on the leader only
	Targets    []TargetStatus          `json:"targets,omitempty"`          // set on the leader only
	Teams      []TeamStatus            `json:"teams,omitempty"`            // set on the leader only
	Queues     []QueueStatus           `json:"queues,omitempty"`           // set on the leader only
	Held       int                     `json:"held"`                       // requests held for callers of this host
	Tasks      map[fleet.TaskPhase]int `json:"tasks,omitempty"`
	Pools      []PoolStatus            `json:"pools,omitempty"`
}

// HostStatus describes one entry host, as known to the leader.
type HostStatus struct {
	Host    model.HostID `json:"host"`
	Serving bool         `json:"serving"` // its lease may still run
	Applied uint64       `json:"applied"`
	Leaving bool         `json:"leaving,omitempty"`
}

// TargetStatus describes one target, as known to the leader.
type TargetStatus struct {
	Target     model.TargetID     `json:"target"`
	Service    model.ServiceID    `json:"service"`
	DataCentre model.DataCentreID `json:"data_centre"`
	State      string             `json:"state"` // ready, leaving, silent, paused
	Slots      int                `json:"slots"`
	Running    int                `json:"running"`
}

// TeamStatus describes one team's use of the fleet.
type TeamStatus struct {
	Team     model.TeamID `json:"team"`
	Share    float64      `json:"share"`
	Limit    int          `json:"limit"`
	Requests int          `json:"requests_running"`
	Tasks    int          `json:"tasks_running"`
}

// QueueStatus describes one queue.
type QueueStatus struct {
	Queue   model.QueueID  `json:"queue"`
	Waiting int            `json:"waiting"`
	RunTime model.Duration `json:"run_time"` // measured mean, in nanoseconds
}

// PoolStatus describes the hosts of one pool.
type PoolStatus struct {
	Pool        model.PoolID `json:"pool"`
	Hosts       int          `json:"hosts"`
	Unavailable int          `json:"unavailable"`
	Budget      int          `json:"budget"`
}
