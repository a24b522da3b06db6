package rulesfile

import (
	"maps"
	"slices"

	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/rules"
)

// Fault is one fault in rules that were read, before it is tied to a line.
type Fault struct {
	Rule    string // such as "team.press"
	Key     string // key in the rule, empty for the rule as a whole
	Found   string
	Allowed string
}

// check finds the faults between rules. Parse calls it on what it read.
var check = checkReferences

// Locate ties faults to the file's lines. A fault of a rule that the file
// does not contain is tied to line 1.
func (f *File) Locate(faults []Fault) Errors {
	var located Errors
	for _, fault := range faults {
		line := max(1, f.Lines[fault.Rule])
		key := fault.Rule
		if fault.Key != "" {
			key += "." + fault.Key
		}
		located = append(located, Error{File: f.Name, Line: line, Key: key, Found: fault.Found, Allowed: fault.Allowed})
	}
	located.Sort()
	return located
}

// references collects the names that no rule declares.
type references struct {
	rules    *rules.Rules
	services map[model.ServiceID]bool // offered by a queue; services have no rule
	faults   []Fault
}

func checkReferences(r *rules.Rules) []Fault {
	c := &references{rules: r, services: map[model.ServiceID]bool{}}
	for _, queue := range r.Queues {
		c.services[queue.Service] = true
	}
	for _, id := range slices.Sorted(maps.Keys(r.Queues)) {
		c.team("queue."+string(id), r.Queues[id].Team)
	}
	for _, id := range slices.Sorted(maps.Keys(r.Waves)) {
		for _, pool := range r.Waves[id].Pools {
			c.pool("wave."+id, "pools", pool)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(r.Objectives)) {
		c.team("objective."+id, r.Objectives[id].Team)
		c.service("objective."+id, r.Objectives[id].Service)
	}
	for _, id := range slices.Sorted(maps.Keys(r.Hosts)) {
		c.pool("host."+string(id), "pool", r.Hosts[id].Pool)
	}
	return c.faults
}

func (c *references) team(rule string, id model.TeamID) {
	if _, ok := c.rules.Teams[id]; !ok && id != "" {
		c.unknown(rule, "team", "unknown team "+string(id), "a team with a rule of its own")
	}
}

func (c *references) pool(rule, key string, id model.PoolID) {
	if _, ok := c.rules.Pools[id]; !ok && id != "" {
		c.unknown(rule, key, "unknown pool "+string(id), "a pool with a rule of its own")
	}
}

func (c *references) service(rule string, id model.ServiceID) {
	if !c.services[id] && id != "" {
		c.unknown(rule, "service", "unknown service "+string(id), "the service of a queue")
	}
}

func (c *references) unknown(rule, key, found, allowed string) {
	c.faults = append(c.faults, Fault{Rule: rule, Key: key, Found: found, Allowed: allowed})
}
