// Package view holds the immutable values that the control goroutine
// publishes to traffic goroutines and operators.
package view

import (
	"primrosedale.example/primrosedale/core/fleet"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/rules"
)

// View is what traffic goroutines may know of the control state. It and all
// that it points to never change once published.
type View struct {
	// Ready is true while calls can be passed to a leader.
	Ready bool
	// BodyLimit is the largest body of a call in bytes, 0 if it is not known.
	BodyLimit  int64
	Rules      *rules.Rules
	Teams      map[model.Digest]model.TeamID // by hash of a key in force
	Leader     model.HostID                  // empty if unknown
	Term       uint64
	Applied    uint64
	LeaseUntil model.Time // no new work starts on this host after this time
	Stopping   bool       // a graceful stop has begun
}

// Serving reports whether new work may start on this host at time now.
func (v *View) Serving(now model.Time) bool { return now < v.LeaseUntil }

// Status describes the system as one host knows it, for operators.
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
	InForce    bool                    `json:"in_force"` // every host has applied the revision or lost its lease; known on the leader
	Serving    bool                    `json:"serving"`
	Voters     []model.HostID          `json:"voters"`
	Out        []model.DataCentreID    `json:"data_centres_out,omitempty"` // taken out of service by the rules
	Hosts      []HostStatus            `json:"entry_hosts,omitempty"`      // known on the leader
	Targets    []TargetStatus          `json:"targets,omitempty"`          // known on the leader
	Teams      []TeamStatus            `json:"teams,omitempty"`            // known on the leader
	Queues     []QueueStatus           `json:"queues,omitempty"`           // known on the leader
	Held       int                     `json:"held"`                       // requests held for callers of this host
	Tasks      map[fleet.TaskPhase]int `json:"tasks,omitempty"`
	Pools      []PoolStatus            `json:"pools,omitempty"`
}

// HostStatus is one entry host as the leader knows it.
type HostStatus struct {
	Host    model.HostID `json:"host"`
	Serving bool         `json:"serving"` // its lease may still run
	Applied uint64       `json:"applied"`
	Leaving bool         `json:"leaving,omitempty"`
}

// TargetStatus is one target as the leader knows it.
type TargetStatus struct {
	Target     model.TargetID     `json:"target"`
	Service    model.ServiceID    `json:"service"`
	DataCentre model.DataCentreID `json:"data_centre"`
	State      string             `json:"state"` // ready, leaving, silent, paused
	Slots      int                `json:"slots"`
	Running    int                `json:"running"`
}

// TeamStatus is one team's use of the fleet.
type TeamStatus struct {
	Team     model.TeamID `json:"team"`
	Share    float64      `json:"share"`
	Limit    int          `json:"limit"`
	Requests int          `json:"requests_running"`
	Tasks    int          `json:"tasks_running"`
}

// QueueStatus is one queue's state.
type QueueStatus struct {
	Queue   model.QueueID  `json:"queue"`
	Waiting int            `json:"waiting"`
	RunTime model.Duration `json:"run_time"` // learned mean, in nanoseconds
}

// PoolStatus is one pool's hosts.
type PoolStatus struct {
	Pool        model.PoolID `json:"pool"`
	Hosts       int          `json:"hosts"`
	Unavailable int          `json:"unavailable"`
	Budget      int          `json:"budget"`
}
