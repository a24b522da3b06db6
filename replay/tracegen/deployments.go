package tracegen

import "primrosedale.example/primrosedale/core/model"

// Slots and connections of a target in both deployments.
const (
	targetSlots       = 8
	targetConnections = 64
)

// deployment describes a fleet and its normal load.
type deployment struct {
	dataCentres []model.DataCentreID
	services    []service
	queues      []queue
	// In the scenario overnight, the targets of the service shared replace those of
	// the service overnight and also run its work.
	shared, overnight model.ServiceID
	idleTeam          model.TeamID // sends nothing for a while in the scenario lending
	borrower          model.TeamID // takes idle workers in the scenario shared-pool
}

// service is a service with its number of targets.
type service struct {
	id      model.ServiceID
	targets int
}

// queue is the work of one team in one queue.
type queue struct {
	id         model.QueueID
	team       model.TeamID
	service    model.ServiceID
	load       float64 // fraction of the service's slots that it takes at load factor 1
	run        float64 // mean run time in seconds
	spread     float64 // standard deviation of the logarithm of run times
	patience   float64 // seconds
	worth      float64
	idempotent bool
}

// deployments are the two example deployments. Run times and patience are scaled down
// from the real ones by the same factor, so that a trace of one minute holds as many
// decisions as a real hour. For the policy only the ratio of the two matters.
var deployments = map[string]deployment{
	"vakoas": {
		dataCentres: []model.DataCentreID{"north", "west", "south"},
		services: []service{
			{"render", 18}, {"typeset", 12}, {"index", 8}, {"orders", 6}, {"catalogue", 6},
		},
		queues: []queue{
			{"proofs-kreol", "kreol", "render", 0.3, 1.5, 0.6, 6, 3, true},
			{"proofs-french", "french", "render", 0.3, 1.5, 0.6, 6, 3, true},
			{"proofs-english", "english", "render", 0.3, 1.5, 0.6, 6, 3, true},
			{"proofs-english", "press", "render", 0.1, 1.5, 0.6, 10, 1, true},
			{"typesetting", "press", "typeset", 0.7, 2.5, 0.6, 12, 2, true},
			{"typesetting", "kreol", "typeset", 0.1, 2.5, 0.6, 12, 2, true},
			{"typesetting", "french", "typeset", 0.1, 2.5, 0.6, 12, 2, true},
			{"typesetting", "english", "typeset", 0.1, 2.5, 0.6, 12, 2, true},
			{"indexing", "archive", "index", 1, 6, 0.8, 45, 0.5, true},
			{"order-sync", "orders", "orders", 1, 0.5, 0.4, 3, 8, false},
			{"catalogue", "press", "catalogue", 1, 0.5, 0.4, 2, 1, true},
		},
		shared: "render", overnight: "index", idleTeam: "kreol", borrower: "archive",
	},
	"ulaanbaatar": {
		dataCentres: []model.DataCentreID{"bayangol", "chingeltei", "khan-uul", "sukhbaatar"},
		services: []service{
			{"dispatch", 14}, {"flow", 14}, {"study", 10}, {"calibrate", 6}, {"report", 6},
		},
		queues: []queue{
			{"dispatch", "dispatch", "dispatch", 1, 1, 0.5, 4, 10, false},
			{"heat-flow", "heat", "flow", 0.4, 2, 0.6, 8, 3, false},
			{"water-flow", "water", "flow", 0.4, 2, 0.6, 8, 3, false},
			{"heat-flow", "planning", "flow", 0.1, 2, 0.6, 16, 1, false},
			{"water-flow", "leakage", "flow", 0.1, 2, 0.6, 16, 1, false},
			{"studies", "planning", "study", 1, 6, 0.8, 45, 1, false},
			{"calibration", "leakage", "calibrate", 1, 4, 0.8, 30, 1, false},
			{"reports", "reporting", "report", 0.6, 1, 0.5, 8, 1, true},
			{"outages", "reporting", "report", 0.4, 0.4, 0.4, 2, 2, true},
		},
		shared: "dispatch", overnight: "study", idleTeam: "heat", borrower: "planning",
	},
}
