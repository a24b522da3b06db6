package jobs

import (
	"strings"

	"primrosedale.example/primrosedale/core/model"
)

// Config is one version of the operator's configuration.
type Config struct {
	Version  uint64                        `json:"version"`
	Queues   []Queue                       `json:"queues"`
	Services map[model.ServiceID]Service   `json:"services"`
	Teams    map[model.TeamID]Team         `json:"teams"`
	Keys     map[model.Digest]model.TeamID `json:"keys"` // by the SHA-256 of the key
	Limits   Limits                        `json:"limits"`
	// Document is the configuration file as the operator sent it. Reads return it
	// unchanged.
	Document string `json:"document"`
}

// QueueAddress identifies a queue to callers.
type QueueAddress struct {
	Host   string `json:"host"`
	Prefix string `json:"prefix"`
}

// Address returns the address of the queue.
func (q *Queue) Address() QueueAddress { return QueueAddress{q.Host, q.Prefix} }

// Queue takes the jobs of requests whose host is Host and whose path begins with
// Prefix.
type Queue struct {
	ID          model.QueueID   `json:"id"`
	Host        string          `json:"host"`
	Prefix      string          `json:"prefix"`
	Service     model.ServiceID `json:"service"`
	Precedence  int             `json:"precedence"` // 0 is served first
	MaxAttempts int             `json:"max_attempts"`
	// A job is on time if it ends within Stretch times the estimate of its critical
	// path, plus Target.
	Stretch float64        `json:"stretch"`
	Target  model.Duration `json:"target"`
	Timeout model.Duration `json:"timeout"`
	Open    bool           `json:"open,omitempty"` // accepts jobs without a key
	// Advice is set if an external policy service decides which workers may run the
	// queue's steps.
	Advice *Advice `json:"advice,omitempty"`
}

// Advice describes the response times of the external policy service of a queue.
type Advice struct {
	Decision model.Duration `json:"decision"` // time that the service takes for one call
	Period   model.Duration `json:"period"`   // time in addition for each worker named in the call
	Validity model.Duration `json:"validity"` // of a ticket
}

// Service is a pool of workers.
type Service struct {
	Guarded bool `json:"guarded,omitempty"` // its workers refuse runs that exceed their capacity
	Standby bool `json:"standby,omitempty"` // its hosts are switched off
}

// Team is a customer.
type Team struct {
	Weight float64 `json:"weight"` // jobs per second that are its share while a pool is full
	// Cap limits the resources of the team's runs on all workers together. An amount
	// of zero means no limit.
	Cap model.Resources `json:"cap"`
}

// Limits are the limits of a caller's request.
type Limits struct {
	BodyBytes   int64          `json:"body_bytes"`
	HeaderBytes int            `json:"header_bytes"`
	HeaderTime  model.Duration `json:"header_time"`
	IdleTime    model.Duration `json:"idle_time"`
}

// Find returns the queue with the longest matching prefix, and the rest of path after
// that prefix. It returns nil if no queue matches.
func (c *Config) Find(host, path string) (*Queue, string) {
	var found *Queue
	for i := range c.Queues {
		q := &c.Queues[i]
		if q.Host != host || !strings.HasPrefix(path, q.Prefix) {
			continue
		}
		if found == nil || len(q.Prefix) > len(found.Prefix) {
			found = q
		}
	}
	if found == nil {
		return nil, ""
	}
	return found, path[len(found.Prefix):]
}

// HasService reports whether the configuration names a service. A nil Config names none.
func (c *Config) HasService(id model.ServiceID) bool {
	if c == nil {
		return false
	}
	_, named := c.Services[id]
	return named
}

// Queue returns the queue with this ID, or nil.
func (c *Config) Queue(id model.QueueID) *Queue {
	for i := range c.Queues {
		if c.Queues[i].ID == id {
			return &c.Queues[i]
		}
	}
	return nil
}

// Exceeds reports whether used is over the team's cap.
func (t Team) Exceeds(used model.Resources) bool {
	over := func(used, limit int64) bool { return limit > 0 && used > limit }
	return over(used.MilliCPU, t.Cap.MilliCPU) || over(used.MemoryMB, t.Cap.MemoryMB) ||
		over(used.Accelerators, t.Cap.Accelerators)
}
