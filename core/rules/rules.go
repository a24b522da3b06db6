// Package rules holds the operators' rules as typed values: the
// configuration that is replicated and in force on every host.
package rules

import "primrosedale.example/primrosedale/core/model"

// Rules is one revision of the configuration. Values are immutable once
// built: every change makes a new Rules.
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
	Share float64 `json:"share"` // percent of the fleet when everything is full, 0 to 100
	Limit int     `json:"limit"` // running requests and tasks over the whole fleet, at least 1
}

// Queue is where callers send requests for one service.
type Queue struct {
	Service    model.ServiceID `json:"service"`
	Precedence int             `json:"precedence"`          // larger goes first, 0 to 9
	MaxRun     model.Duration  `json:"max_run"`             // longest run of one request
	Open       bool            `json:"open,omitempty"`      // accepts requests without a key
	Team       model.TeamID    `json:"team,omitempty"`      // team charged for requests without a key
	Overnight  bool            `json:"overnight,omitempty"` // may wait long but must finish
}

// Pool is a group of hosts that serve the same purpose.
type Pool struct {
	HostsMin       int  `json:"hosts_min"`       // hosts the pool is given at least
	UnavailableMax int  `json:"unavailable_max"` // availability budget: hosts out at one time
	Spare          bool `json:"spare,omitempty"` // hosts that may be moved to any pool

	// HostsMax is the most hosts that the pool is given by its demand. Zero
	// stands for a pool that is not sized by demand: it is filled to HostsMin
	// only, and the rules of its hosts pin them to it.
	HostsMax int `json:"hosts_max,omitempty"`
	// Buffer is the number of hosts kept beyond the need of a sized pool. With
	// Survive it is the most, if it is not zero: fewer are kept if the pool has
	// fewer in every failure domain.
	Buffer  int    `json:"buffer,omitempty"`
	Survive Domain `json:"survive,omitempty"`
}

// Sized reports whether the pool is sized by demand.
func (p Pool) Sized() bool { return p.HostsMax > 0 }

// Domain is a failure domain whose loss a sized pool is to survive.
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

// Objective is a service-level objective for the burn report. It is about the
// team's requests for Service or about its tasks in Pool: one of the two is set.
type Objective struct {
	Team    model.TeamID    `json:"team"`
	Service model.ServiceID `json:"service,omitempty"`
	Pool    model.PoolID    `json:"pool,omitempty"`
	Good    float64         `json:"good"`   // fraction of requests or tasks, 0 to 1
	Window  model.Duration  `json:"window"` // length of the error budget
}

// HostPlacement is the operators' choice of a pool for one host.
type HostPlacement struct {
	Pool model.PoolID `json:"pool"`
}
