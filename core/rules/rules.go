// Package rules holds the operators' rules as typed values. They are the
// configuration that is replicated to every host and in force there.
package rules

import "primrosedale.example/primrosedale/core/model"

// Rules is one revision of the configuration. A value is immutable once it is
// built; every change creates a new one.
type Rules struct {
	Revision    uint64                            `json:"revision"`
	Teams       map[model.TeamID]Team             `json:"teams,omitempty"`
	Queues      map[model.QueueID]Queue           `json:"queues,omitempty"`
	Pools       map[model.PoolID]Pool             `json:"pools,omitempty"`
	DataCentres map[model.DataCentreID]DataCentre `json:"data_centres,omitempty"`
	Waves       map[string]Wave                   `json:"waves,omitempty"`
	Objectives  map[string]Objective              `json:"objectives,omitempty"`
	Hosts       map[model.HostID]HostPlacement    `json:"hosts,omitempty"`
}

// Team is a submitter with a share and an upper limit.
type Team struct {
	Share float64 `json:"share"` // percent of the fleet while all of it is in use, 0 to 100
	Limit int     `json:"limit"` // maximum of running requests and tasks in the whole fleet, at least 1
}

// Queue is where callers send requests for one service.
type Queue struct {
	Service    model.ServiceID `json:"service"`
	Precedence int             `json:"precedence"`          // larger is served first, 0 to 9
	MaxRun     model.Duration  `json:"max_run"`             // maximum run time of one request
	Open       bool            `json:"open,omitempty"`      // accepts requests without a key
	Team       model.TeamID    `json:"team,omitempty"`      // team charged for requests without a key
	Overnight  bool            `json:"overnight,omitempty"` // may wait long but must finish
}

// Pool is a group of hosts that serve the same purpose.
type Pool struct {
	HostsMin       int  `json:"hosts_min"`       // minimum number of hosts
	UnavailableMax int  `json:"unavailable_max"` // availability budget: hosts unavailable at one time
	Spare          bool `json:"spare,omitempty"` // its hosts may be moved to any pool

	// HostsMax is the maximum number of hosts that the pool gets for its demand. Zero
	// means that the pool is not sized by demand: it is filled only to HostsMin, and
	// the rules of its hosts pin them to it.
	HostsMax int `json:"hosts_max,omitempty"`
	// Buffer is the number of hosts that a sized pool keeps beyond its need. With
	// Survive, a Buffer other than zero is an upper limit: the pool keeps fewer if
	// each of its failure domains has fewer hosts.
	Buffer  int    `json:"buffer,omitempty"`
	Survive Domain `json:"survive,omitempty"`
}

// Sized reports whether the pool is sized by demand.
func (p Pool) Sized() bool { return p.HostsMax > 0 }

// Domain is a kind of failure domain. A sized pool is to survive the loss of one
// such domain.
type Domain string

// The failure domains.
const (
	DomainNone       Domain = ""
	DomainRack       Domain = "rack"
	DomainDataCentre Domain = "datacentre"
)

// DataCentre is the operators' state of one data centre.
type DataCentre struct {
	Out bool `json:"out,omitempty"` // no new work may start in it
}

// Wave is a maintenance wave: every host of the pools gets the image.
type Wave struct {
	Pools []model.PoolID `json:"pools"`
	Image string         `json:"image"`
}

// Objective is a service-level objective for the burn report. It covers the team's
// requests for Service or its tasks in Pool; one of the two is set.
type Objective struct {
	Team    model.TeamID    `json:"team"`
	Service model.ServiceID `json:"service,omitempty"`
	Pool    model.PoolID    `json:"pool,omitempty"`
	Good    float64         `json:"good"`   // required fraction of good requests or tasks, between 0 and 1
	Window  model.Duration  `json:"window"` // period over which the error budget applies
}

// HostPlacement is the operators' choice of a pool for one host.
type HostPlacement struct {
	Pool model.PoolID `json:"pool"`
}
