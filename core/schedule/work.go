package schedule

import (
	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/schedule/contention"
)

func workOf(r model.Resources, d model.Duration) contention.Work { return contention.WorkOf(r, d) }

// estimatedWork returns the predicted work of a job.
func estimatedWork(m *durationModel, j *jobs.Job) contention.Work {
	var sum contention.Work
	for i := range j.Steps {
		step := &j.Steps[i]
		sum = sum.Plus(workOf(step.Claim(), m.predict(step.Estimate).mean()).Times(float64(step.Tasks)))
	}
	return sum
}

// Incoming is capacity that a service is going to have, because a host moves to it.
type Incoming = contention.Incoming

// Forecast is what the planner of hosts expects for a service.
type Forecast struct {
	Incoming []Incoming // in the order of its time
	// Contended is set while the fleet has too few hosts for all services.
	Contended bool
}
