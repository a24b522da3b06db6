package rules

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"

	"primrosedale.example/primrosedale/core/model"
)

// Allowed ranges of values in the rules.
const (
	MaxShare      = 100.0 // percent, of one team and of all teams together
	MaxPrecedence = 9
	MinMaxRun     = model.Second
	MaxMaxRun     = 12 * model.Hour
	MinWindow     = model.Hour
	MaxWindow     = 90 * 24 * model.Hour
)

// shareRounding absorbs the rounding of decimal shares, which are not exact in
// binary: ten shares such as 10.1 and 9.9 may add up to slightly over 100.
const shareRounding = 1e-6

// Fault is one value in the rules that is not allowed.
type Fault struct {
	Rule    string // section and name as in the rules file, such as team.press
	Key     string // key of the value; "name" for the rule's own name
	Found   string
	Allowed string
}

// String returns the fault as one line for an operator.
func (f Fault) String() string {
	return fmt.Sprintf("%s %s: found %s, allowed %s", f.Rule, f.Key, f.Found, f.Allowed)
}

// SortFaults orders faults by rule and key.
func SortFaults(faults []Fault) {
	slices.SortFunc(faults, func(a, b Fault) int {
		return cmp.Or(
			cmp.Compare(a.Rule, b.Rule),
			cmp.Compare(a.Key, b.Key),
			cmp.Compare(a.Found, b.Found),
		)
	})
}

// ValidIdentifier reports whether s is non-empty printable ASCII without
// spaces.
func ValidIdentifier(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return s != ""
}

// Check returns all faults of r, sorted by rule and key. There are none if the rules
// are consistent with each other.
func (r *Rules) Check() []Fault {
	c := checker{rules: r, services: r.services()}
	c.teams()
	c.queues()
	c.pools()
	c.dataCentres()
	c.waves()
	c.objectives()
	c.hosts()
	SortFaults(c.faults)
	return c.faults
}

// Clone returns a deep copy of r.
func (r *Rules) Clone() *Rules {
	c := *r
	c.Teams = maps.Clone(r.Teams)
	c.Queues = maps.Clone(r.Queues)
	c.Pools = maps.Clone(r.Pools)
	c.DataCentres = maps.Clone(r.DataCentres)
	c.Waves = maps.Clone(r.Waves)
	for name, wave := range c.Waves {
		wave.Pools = slices.Clone(wave.Pools)
		c.Waves[name] = wave
	}
	c.Objectives = maps.Clone(r.Objectives)
	c.Hosts = maps.Clone(r.Hosts)
	return &c
}

// services returns the services that have a queue.
func (r *Rules) services() map[model.ServiceID]bool {
	services := make(map[model.ServiceID]bool, len(r.Queues))
	for _, queue := range r.Queues {
		services[queue.Service] = true
	}
	return services
}

// checker collects the faults of one Rules value.
type checker struct {
	rules    *Rules
	services map[model.ServiceID]bool
	faults   []Fault
}

func (c *checker) add(rule, key, found, allowed string) {
	c.faults = append(c.faults, Fault{Rule: rule, Key: key, Found: found, Allowed: allowed})
}

// name checks the name of a rule and returns the rule as it is written in the rules
// file.
func (c *checker) name(section, name string) string {
	rule := section + "." + name
	c.identifier(rule, "name", name)
	return rule
}

func (c *checker) identifier(rule, key, value string) {
	if !ValidIdentifier(value) {
		c.add(rule, key, strconv.Quote(value), "printable ASCII without spaces")
	}
}

func (c *checker) team(rule string, team model.TeamID) {
	if _, ok := c.rules.Teams[team]; !ok {
		c.add(rule, "team", strconv.Quote(string(team)), "a team of the rules")
	}
}

func (c *checker) pool(rule, key string, pool model.PoolID) {
	if _, ok := c.rules.Pools[pool]; !ok {
		c.add(rule, key, strconv.Quote(string(pool)), "a pool of the rules")
	}
}

func (c *checker) atLeast(rule, key string, found, least int) {
	if found < least {
		c.add(rule, key, strconv.Itoa(found), "at least "+strconv.Itoa(least))
	}
}

func (c *checker) teams() {
	total := 0.0
	// Sorted, because a floating-point sum depends on the order of its terms, and all
	// replicas must compute the same sum.
	for _, id := range slices.Sorted(maps.Keys(c.rules.Teams)) {
		team := c.rules.Teams[id]
		rule := c.name("team", string(id))
		total += team.Share
		// Negated so that NaN is a fault too.
		if !(team.Share >= 0 && team.Share <= MaxShare) {
			c.add(rule, "share", formatFloat(team.Share), "0 to 100")
		}
		c.atLeast(rule, "limit", team.Limit, 1)
	}
	if total > MaxShare+shareRounding {
		c.add("team", "share", formatFloat(total)+" in total", "at most 100 in total")
	}
}

func (c *checker) queues() {
	for id, queue := range c.rules.Queues {
		rule := c.name("queue", string(id))
		c.identifier(rule, "service", string(queue.Service))
		if queue.Precedence < 0 || queue.Precedence > MaxPrecedence {
			c.add(rule, "precedence", strconv.Itoa(queue.Precedence), "0 to 9")
		}
		if queue.MaxRun < MinMaxRun || queue.MaxRun > MaxMaxRun {
			c.add(rule, "max_run_s", formatFloat(queue.MaxRun.Seconds()), "1 to 43200")
		}
		if queue.Team != "" {
			c.team(rule, queue.Team)
		} else if queue.Open {
			c.add(rule, "team", "none", "a team, because the queue is open")
		}
	}
}

func (c *checker) pools() {
	for id, pool := range c.rules.Pools {
		rule := c.name("pool", string(id))
		c.atLeast(rule, "hosts_min", pool.HostsMin, 0)
		c.atLeast(rule, "unavailable_max", pool.UnavailableMax, 0)
		c.atLeast(rule, "buffer", pool.Buffer, 0)
		c.atLeast(rule, "hosts_max", pool.HostsMax, 0)
		if pool.Sized() {
			c.atLeast(rule, "hosts_max", pool.HostsMax, pool.HostsMin)
		}
		c.sizing(rule, pool)
	}
}

// sizing checks the keys that only a pool sized by demand can have.
func (c *checker) sizing(rule string, pool Pool) {
	const allowed = "none without hosts_max"
	switch pool.Survive {
	case DomainNone, DomainRack, DomainDataCentre:
	default:
		c.add(rule, "survive", strconv.Quote(string(pool.Survive)), `"rack" or "datacentre"`)
	}
	if pool.Sized() {
		return
	}
	if pool.Buffer > 0 {
		c.add(rule, "buffer", strconv.Itoa(pool.Buffer), allowed)
	}
	if pool.Survive != DomainNone {
		c.add(rule, "survive", strconv.Quote(string(pool.Survive)), allowed)
	}
}

func (c *checker) dataCentres() {
	for id := range c.rules.DataCentres {
		c.name("datacentre", string(id))
	}
}

func (c *checker) waves() {
	for id, wave := range c.rules.Waves {
		rule := c.name("wave", id)
		c.identifier(rule, "image", wave.Image)
		if len(wave.Pools) == 0 {
			c.add(rule, "pools", "none", "at least one pool")
		}
		for _, pool := range wave.Pools {
			c.pool(rule, "pools", pool)
		}
	}
}

func (c *checker) objectives() {
	for id, objective := range c.rules.Objectives {
		rule := c.name("objective", id)
		c.team(rule, objective.Team)
		switch {
		case objective.Pool != "" && objective.Service != "":
			c.add(rule, "pool", strconv.Quote(string(objective.Pool)), "no pool beside a service")
		case objective.Pool != "":
			c.pool(rule, "pool", objective.Pool)
		case !c.services[objective.Service]:
			c.add(rule, "service", strconv.Quote(string(objective.Service)), "the service of a queue")
		}
		if !(objective.Good > 0 && objective.Good < 1) {
			c.add(rule, "good", formatFloat(objective.Good), "more than 0 and less than 1")
		}
		if objective.Window < MinWindow || objective.Window > MaxWindow {
			c.add(rule, "window_h", formatFloat(objective.Window.Seconds()/model.Hour.Seconds()), "1 to 2160")
		}
	}
}

func (c *checker) hosts() {
	for id, placement := range c.rules.Hosts {
		rule := c.name("host", string(id))
		c.pool(rule, "pool", placement.Pool)
	}
}

func formatFloat(f float64) string {
	return strconv.FormatFloat(f, 'g', -1, 64)
}
