package rulesfile

import (
	"math"

	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/rules"
	"primrosedale.example/primrosedale/rulesfile/filefault"
)

const revisionKind = "revision"

// kindList names the rule kinds in messages.
const kindList = "revision, team, queue, pool, datacentre, wave, objective, host"

// Bounds of values that core/rules does not bound. They lie far above the design size
// (design 2.6) and catch typing errors.
const (
	maxLimit = 1_000_000 // running requests and tasks of one team
	maxHosts = 100_000   // hosts of one pool
	maxImage = 128       // bytes of an image name
)

const (
	defaultMaxRunS = 60 // seconds
	minWindowH     = int64(rules.MinWindow / model.Hour)
	maxWindowH     = int64(rules.MaxWindow / model.Hour)
)

var (
	shareInterval  = filefault.Interval{Min: 0, Max: rules.MaxShare}
	maxRunInterval = filefault.Interval{Min: rules.MinMaxRun.Seconds(), Max: rules.MaxMaxRun.Seconds()}
	// Both bounds are excluded: an objective of 1 leaves no error budget to divide by.
	goodInterval = filefault.Interval{Min: 0, Max: 1, Open: true}
)

// kind holds the decoder of one rule kind.
type kind struct {
	decode func(r *rules.Rules, name string, t *filefault.Table)
}

var kinds = map[string]kind{
	"team":       {decodeTeam},
	"queue":      {decodeQueue},
	"pool":       {decodePool},
	"datacentre": {decodeDataCentre},
	"wave":       {decodeWave},
	"objective":  {decodeObjective},
	"host":       {decodeHost},
}

func isKind(name string) bool {
	_, ok := kinds[name]
	return ok || name == revisionKind
}

// setEntry sets m[key] and creates the map if it is nil. Maps without entries stay
// nil so that rules compare equal after a round trip through any codec.
func setEntry[K comparable, V any](m *map[K]V, key K, value V) {
	if *m == nil {
		*m = map[K]V{}
	}
	(*m)[key] = value
}

func identifier(t *filefault.Table, key string) string {
	return t.Text(key, "", filefault.IdentifierAllowed, filefault.IsIdentifier)
}

func decodeTeam(r *rules.Rules, name string, t *filefault.Table) {
	t.Require("share", "limit")
	setEntry(&r.Teams, model.TeamID(name), rules.Team{
		Share: t.Number("share", 0, shareInterval),
		Limit: int(t.Int("limit", 1, 1, maxLimit)),
	})
}

func decodeQueue(r *rules.Rules, name string, t *filefault.Table) {
	t.Require("service")
	setEntry(&r.Queues, model.QueueID(name), rules.Queue{
		Service:    model.ServiceID(identifier(t, "service")),
		Precedence: int(t.Int("precedence", 0, 0, rules.MaxPrecedence)),
		MaxRun:     seconds(t.Number("max_run_s", defaultMaxRunS, maxRunInterval)),
		Open:       t.Bool("open", false),
		Team:       model.TeamID(identifier(t, "team")),
		Overnight:  t.Bool("overnight", false),
	})
}

func decodePool(r *rules.Rules, name string, t *filefault.Table) {
	t.Require("hosts_min", "unavailable_max")
	setEntry(&r.Pools, model.PoolID(name), rules.Pool{
		HostsMin:       int(t.Int("hosts_min", 0, 0, maxHosts)),
		UnavailableMax: int(t.Int("unavailable_max", 0, 0, maxHosts)),
		Spare:          t.Bool("spare", false),
		HostsMax:       int(t.Int("hosts_max", 0, 0, maxHosts)),
		Buffer:         int(t.Int("buffer", 0, 0, maxHosts)),
		Survive:        rules.Domain(t.Text("survive", "", `"rack" or "datacentre"`, isDomain)),
	})
}

func decodeDataCentre(r *rules.Rules, name string, t *filefault.Table) {
	t.Require("out")
	setEntry(&r.DataCentres, model.DataCentreID(name), rules.DataCentre{Out: t.Bool("out", false)})
}

func decodeWave(r *rules.Rules, name string, t *filefault.Table) {
	t.Require("pools", "image")
	var pools []model.PoolID
	for _, pool := range t.Texts("pools", filefault.IdentifierAllowed, filefault.IsIdentifier) {
		pools = append(pools, model.PoolID(pool))
	}
	setEntry(&r.Waves, name, rules.Wave{
		Pools: pools,
		Image: t.Text("image", "", "a name of 1 to 128 printable ASCII characters without spaces", isImage),
	})
}

func decodeObjective(r *rules.Rules, name string, t *filefault.Table) {
	t.Require("team", "good", "window_h")
	if !t.Has("pool") {
		t.Require("service")
	}
	setEntry(&r.Objectives, name, rules.Objective{
		Team:    model.TeamID(identifier(t, "team")),
		Service: model.ServiceID(identifier(t, "service")),
		Pool:    model.PoolID(identifier(t, "pool")),
		Good:    t.Number("good", 0, goodInterval),
		Window:  model.Duration(t.Int("window_h", 1, minWindowH, maxWindowH)) * model.Hour,
	})
}

func decodeHost(r *rules.Rules, name string, t *filefault.Table) {
	t.Require("pool")
	setEntry(&r.Hosts, model.HostID(name), rules.HostPlacement{Pool: model.PoolID(identifier(t, "pool"))})
}

// seconds returns s in whole milliseconds, the resolution of max_run_s.
func seconds(s float64) model.Duration {
	return model.Duration(math.Round(s*1000)) * model.Millisecond
}

func isDomain(s string) bool {
	return s == string(rules.DomainRack) || s == string(rules.DomainDataCentre)
}

func isImage(s string) bool {
	if s == "" || len(s) > maxImage {
		return false
	}
	for _, c := range []byte(s) {
		if c <= ' ' || c > '~' {
			return false
		}
	}
	return true
}
