package jobs

import (
	"errors"
	"fmt"
	"math"

	"primrosedale.example/primrosedale/core/model"
)

// Limits of a job. A job over one of them is refused.
const (
	maxSteps = 256 // 50 times the longest chain of steps in use
	// maxTasks counts the tasks of all steps and rounds. It bounds the stored state of
	// a job to about 1 MB.
	maxTasks     = 10_000
	maxRounds    = maxTasks // each round has at least one task
	maxSpecBytes = 4_000    // the length that the interface promises to callers
)

// ErrInvalid is wrapped by every error of the Check methods.
var ErrInvalid = errors.New("not valid")

func invalid(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrInvalid, fmt.Sprintf(format, args...))
}

// Check returns an error if a submitted job cannot be accepted.
func (j *Job) Check() error {
	switch {
	case len(j.Spec) > maxSpecBytes:
		return invalid("the specification has %d bytes, allowed are %d", len(j.Spec), maxSpecBytes)
	case len(j.Steps) == 0 || len(j.Steps) > maxSteps:
		return invalid("the job has %d steps, allowed are 1 to %d", len(j.Steps), maxSteps)
	case len(j.Rounds) == 0 || len(j.Rounds) > maxRounds:
		return invalid("the job repeats %d times, allowed are 1 to %d", len(j.Rounds), maxRounds)
	case j.Interval < 0 || j.FirstAt < 0:
		return invalid("the interval or the first time of the job is negative")
	}
	tasks := 0
	for i := range j.Steps {
		if err := j.checkStep(i); err != nil {
			return err
		}
		tasks += j.Steps[i].Tasks * len(j.Rounds)
	}
	if tasks > maxTasks {
		return invalid("the job has %d tasks, allowed are %d", tasks, maxTasks)
	}
	return nil
}

func (j *Job) checkStep(i int) error {
	s := &j.Steps[i]
	switch {
	case s.Tasks < 1 || s.Tasks > maxTasks:
		return invalid("step %d has %d tasks, allowed are 1 to %d", i, s.Tasks, maxTasks)
	case !s.Size.Valid():
		return invalid("step %d has a size that is negative or too large", i)
	case s.Estimate < 0 || s.Target < 0 || s.PerWorker < 0 || s.MaxUnavailable < 0:
		return invalid("the estimate, the target or a count of step %d is negative", i)
	}
	for _, before := range s.After {
		if before < 0 || before >= i {
			return invalid("step %d comes after step %d, which is not an earlier one", i, before)
		}
	}
	return nil
}

// Check returns an error if a configuration is not valid.
func (c *Config) Check() error {
	type route struct{ host, prefix string }
	routes := make(map[route]model.QueueID, len(c.Queues))
	for i := range c.Queues {
		q := &c.Queues[i]
		if _, known := c.Services[q.Service]; !known {
			return invalid("queue %s names the unknown service %q", q.ID, q.Service)
		}
		key := route{q.Host, q.Prefix}
		if other, taken := routes[key]; taken {
			return invalid("queues %s and %s share host %q and prefix %q", other, q.ID, q.Host, q.Prefix)
		}
		routes[key] = q.ID
		if q.Timeout <= 0 {
			return invalid("queue %s has no timeout", q.ID)
		}
	}
	for _, id := range model.SortedKeys(c.Teams) {
		if w := c.Teams[id].Weight; w < 0 || math.IsNaN(w) || math.IsInf(w, 0) {
			return invalid("the weight of team %s is %v, allowed are finite numbers from 0", id, w)
		}
	}
	return nil
}
