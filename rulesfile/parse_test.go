package rulesfile

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/rules"
)

const baseRules = "revision = 1 # release desk\n" +
	"team.press = { share = 30, limit = 120 } # production desk\n" +
	"queue.proofs = { service = \"render\" } # editors\n" +
	"pool.render = { hosts_min = 12, unavailable_max = 2 } # platform operators\n"

// Guards against decoding a value into the wrong field, unit or rule.
func TestParseDesignExample(t *testing.T) {
	text := `revision = 41                                                    # release desk
team.press      = { share = 30, limit = 120 }                    # production desk
queue.proofs    = { service = "render", precedence = 2, max_run_s = 60 }  # editors
queue.public    = { service = "render", open = true, team = "press" }     # front desk
pool.render     = { hosts_min = 12, unavailable_max = 2 }        # platform operators
datacentre.west = { out = true }                                 # night operators, power work
wave.kernel-9   = { pools = ["render"], image = "kernel-9" }     # platform operators
objective.press-render = { team = "press", service = "render", good = 0.99, window_h = 720 }  # director
host."rack1.h2" = { pool = "render" } # platform operators
`
	file, err := Parse("rules.toml", []byte(text))
	require.NoError(t, err)
	require.Equal(t, &rules.Rules{
		Revision: 41,
		Teams:    map[model.TeamID]rules.Team{"press": {Share: 30, Limit: 120}},
		Queues: map[model.QueueID]rules.Queue{
			"proofs": {Service: "render", Precedence: 2, MaxRun: 60 * model.Second},
			"public": {Service: "render", MaxRun: 60 * model.Second, Open: true, Team: "press"},
		},
		Pools:       map[model.PoolID]rules.Pool{"render": {HostsMin: 12, UnavailableMax: 2}},
		DataCentres: map[model.DataCentreID]rules.DataCentre{"west": {Out: true}},
		Waves:       map[string]rules.Wave{"kernel-9": {Pools: []model.PoolID{"render"}, Image: "kernel-9"}},
		Objectives: map[string]rules.Objective{"press-render": {
			Team: "press", Service: "render", Good: 0.99, Window: 720 * model.Hour}},
		Hosts: map[model.HostID]rules.HostPlacement{"rack1.h2": {Pool: "render"}},
	}, file.Rules)
	require.Equal(t, 6, file.Lines["datacentre.west"])
	require.Equal(t, 9, file.Lines["host.rack1.h2"])
	require.Equal(t, "night operators, power work", file.Requesters["datacentre.west"])
}

// Guards against a hash that differs from `sha256sum` of the file, by which
// operators compare what is in force with what they submitted.
func TestHashIsOfTheText(t *testing.T) {
	require.Equal(t, model.Digest("ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"), Hash([]byte("abc")))
}

// Guards against a fault that is accepted, or that is reported without the
// line, the key, what was found or what is allowed.
func TestFaults(t *testing.T) {
	const identifier = "an identifier of 1 to 64 letters, digits, '.', '_' or '-', starting with a letter or digit"
	const oneLine = "one line of TOML: KIND.NAME = { ... }  # NAME"
	tests := map[string]struct{ line, want string }{
		"syntax":            {`team.x = { share = }`, "syntax: found text that is not TOML (unexpected character U+007D '}' at start of value), allowed " + oneLine},
		"repeated key":      {`team.x = { share = 1, limit = 1, limit = 2 } # a`, "syntax: found text that is not TOML (key limit is already defined), allowed " + oneLine},
		"table header":      {`[team.x] # a`, "team.x: found a table header, allowed one line for each rule: KIND.NAME = { ... }  # NAME"},
		"unknown kind":      {`crew.x = { share = 1 } # a`, `crew.x: found unknown rule kind "crew", allowed one of revision, team, queue, pool, datacentre, wave, objective, host`},
		"unknown key":       {`team.x = { share = 1, limit = 1, quota = 2 } # a`, "team.x.quota: found an unknown key, allowed one of share, limit"},
		"missing key":       {`team.x = { share = 1 } # a`, "team.x.limit: found nothing, allowed a value: the key is required"},
		"wrong type":        {`team.x = { share = "1", limit = 1 } # a`, `team.x.share: found "1", allowed a number from 0 to 100`},
		"not a table":       {`team.x = 3 # a`, "team.x: found 3, allowed an inline table: { ... }"},
		"share too large":   {`team.x = { share = 100.5, limit = 1 } # a`, "team.x.share: found 100.5, allowed a number from 0 to 100"},
		"share not finite":  {`team.x = { share = nan, limit = 1 } # a`, "team.x.share: found NaN, allowed a number from 0 to 100"},
		"limit too small":   {`team.x = { share = 1, limit = 0 } # a`, "team.x.limit: found 0, allowed a whole number from 1 to 1000000"},
		"limit a fraction":  {`team.x = { share = 1, limit = 1.5 } # a`, "team.x.limit: found 1.5, allowed a whole number from 1 to 1000000"},
		"precedence":        {`queue.x = { service = "render", precedence = 10 } # a`, "queue.x.precedence: found 10, allowed a whole number from 0 to 9"},
		"run time":          {`queue.x = { service = "render", max_run_s = 0 } # a`, "queue.x.max_run_s: found 0, allowed a number from 1 to 43200"},
		"truth value":       {`datacentre.x = { out = 1 } # a`, "datacentre.x.out: found 1, allowed true or false"},
		"good":              {`objective.x = { team = "press", service = "render", good = 1, window_h = 1 } # a`, "objective.x.good: found 1, allowed a number over 0 and under 1"},
		"window":            {`objective.x = { team = "press", service = "render", good = 0.9, window_h = 0 } # a`, "objective.x.window_h: found 0, allowed a whole number from 1 to 2160"},
		"empty list":        {`wave.x = { pools = [], image = "i" } # a`, "wave.x.pools: found a list of 0, allowed a list of at least one of: " + identifier},
		"repeated pool":     {`wave.x = { pools = ["render", "render"], image = "i" } # a`, `wave.x.pools: found "render" twice, allowed each entry once`},
		"image":             {`wave.x = { pools = ["render"], image = "a b" } # a`, `wave.x.image: found "a b", allowed a name of 1 to 128 printable ASCII characters without spaces`},
		"duplicate":         {`team.press = { share = 1, limit = 1 } # a`, "team.press: found a second rule of this name, allowed one; the first is on line 2"},
		"second revision":   {`revision = 2 # a`, "revision: found a second rule of this name, allowed one; the first is on line 1"},
		"missing comment":   {`team.x = { share = 1, limit = 1 }`, "team.x: found no comment, allowed a comment on the same line that names who asked: # NAME"},
		"empty comment":     {`team.x = { share = 1, limit = 1 } #  `, "team.x: found no comment, allowed a comment on the same line that names who asked: # NAME"},
		"identifier":        {`team."a b" = { share = 1, limit = 1 } # a`, `team."a b": found the name "a b", allowed ` + identifier},
		"value identifier":  {`host.x = { pool = "" } # a`, `host.x.pool: found "", allowed ` + identifier},
		"no name":           {`team = { share = 1, limit = 1 } # a`, "team: found a key of 1 parts, allowed team.NAME = { ... }"},
		"lines TOML allows": {"wave.w = { pools = [\n \"render\",\n], image = \"i\" } # a", "wave.w: found a rule spread over 3 lines, allowed one line for each rule"},
		"spread dotted key": {`team.x.share = 1 # a`, "team.x.share: found a key of 3 parts, allowed team.NAME = { ... }"},
		"open without team": {`queue.x = { service = "render", open = true } # a`, "queue.x.team: found none, allowed a team, because the queue is open"},
		"unknown team":      {`queue.x = { service = "render", open = true, team = "x" } # a`, `queue.x.team: found "x", allowed a team of the rules`},
		"unknown service":   {`objective.x = { team = "press", service = "x", good = 0.9, window_h = 1 } # a`, `objective.x.service: found "x", allowed the service of a queue`},
		"objective of both": {`objective.x = { team = "press", service = "render", pool = "x", good = 0.9, window_h = 1 } # a`, `objective.x.pool: found "x", allowed no pool beside a service`},
		"objective's pool":  {`objective.x = { team = "press", pool = "x", good = 0.9, window_h = 1 } # a`, `objective.x.pool: found "x", allowed a pool of the rules`},
		"unknown pool":      {`host.x = { pool = "x" } # a`, `host.x.pool: found "x", allowed a pool of the rules`},
		"unknown wave pool": {`wave.x = { pools = ["x"], image = "i" } # a`, `wave.x.pools: found "x", allowed a pool of the rules`},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := Parse("f", []byte(baseRules+test.line+"\n"))
			require.EqualError(t, err, "f:5: "+test.want)
		})
	}
}

// Guards against a fault that hides those after it, and against the order of
// faults depending on the order of a map.
func TestEveryFaultIsReported(t *testing.T) {
	text := strings.Join([]string{
		`revision = 0 # a`,
		`team.a = { share = -1, limit = "x", z = 1, y = 2 }`,
		``,
		`not TOML`,
		`pool.p = {`,
		`  hosts_min = 1, unavailable_max = 1 }`,
		`wave.w = { pools = [1, ""], image = 3 } # b`,
	}, "\n")
	var places []string
	_, err := Parse("f", []byte(text))
	faults := Errors{}
	require.ErrorAs(t, err, &faults)
	for _, e := range faults {
		places = append(places, strings.SplitN(e.Error(), ": found", 2)[0])
	}
	require.Equal(t, []string{
		"f:1: revision",
		"f:2: team.a", "f:2: team.a.limit", "f:2: team.a.share", "f:2: team.a.y", "f:2: team.a.z",
		"f:4: syntax",
		"f:5: pool.p", "f:5: pool.p",
		"f:7: wave.w.image", "f:7: wave.w.pools", "f:7: wave.w.pools",
	}, places)
}

// Guards against accepting a file without a revision, which could not be ordered.
func TestMissingRevision(t *testing.T) {
	_, err := Parse("f", nil)
	require.EqualError(t, err, "f:1: revision: found nothing, allowed one line: revision = N")
}

// Guards against the time and memory that parsing an oversized file would take.
func TestOversizedFile(t *testing.T) {
	_, err := Parse("f", make([]byte, MaxBytes+1))
	require.EqualError(t, err, "f:1: syntax: found 1048577 bytes, allowed at most 1048576 bytes")
}

// Guards against rejecting Windows line ends or a last line without a line end.
func TestLineEnds(t *testing.T) {
	file, err := Parse("f", []byte("revision = 7 # a\r\n\r\n# note\r\nteam.a = { share = 1, limit = 1 } # b"))
	require.NoError(t, err)
	require.Equal(t, "b", file.Requesters["team.a"])
	require.Equal(t, 4, file.Lines["team.a"])
}

// Guards against faults of the rules' checks that are reported without their line.
func TestLocate(t *testing.T) {
	file, err := Parse("f", []byte(baseRules))
	require.NoError(t, err)
	located := file.Locate([]rules.Fault{
		{Rule: "pool.render", Key: "hosts_min", Found: "12", Allowed: "at most 10"},
		{Rule: "team.press", Found: "a", Allowed: "b"},
		{Rule: "team", Key: "share", Found: "101 in total", Allowed: "100"},
		{Rule: "pool.gone", Found: "c", Allowed: "d"},
	})
	require.EqualError(t, located, "f:1: pool.gone: found c, allowed d\n"+
		"f:2: team.press: found a, allowed b\n"+
		"f:2: team.share: found 101 in total, allowed 100\n"+
		"f:4: pool.render.hosts_min: found 12, allowed at most 10")
}

// Guards against consequential faults of a line that could not be parsed: keys under
// a table header, and references to a rule whose name is not known.
func TestConsequentialFaultsAreNotReported(t *testing.T) {
	text := baseRules + "host.h = { pool = \"p\" } # a\npool p = {} # a\n[team.x]\nshare = 1\n"
	_, err := Parse("f", []byte(text))
	var faults Errors
	require.ErrorAs(t, err, &faults)
	require.Len(t, faults, 2)
	require.Equal(t, 6, faults[0].Line)
	require.Equal(t, "team.x", faults[1].Key)
}

// Guards against a sum of shares over 100 that is reported without the line of the
// teams.
func TestSumOfShares(t *testing.T) {
	_, err := Parse("f", []byte(baseRules+"team.a = { share = 70, limit = 1 } # a\nteam.b = { share = 10, limit = 1 } # a\n"))
	require.EqualError(t, err, "f:2: team.share: found 110 in total, allowed at most 100 in total")
}

// Guards against examples that no longer match the format, and checks that they have
// the size of the deployments they represent.
func TestExamples(t *testing.T) {
	paths, err := filepath.Glob("../examples/*/rules.toml")
	require.NoError(t, err)
	require.Len(t, paths, 2)
	for _, path := range paths {
		text, err := os.ReadFile(path)
		require.NoError(t, err)
		file, err := Parse(path, text)
		require.NoError(t, err)
		services := map[model.ServiceID]bool{}
		for _, queue := range file.Rules.Queues {
			services[queue.Service] = true
		}
		require.Len(t, services, 5, path)
		require.Len(t, file.Rules.Teams, 6, path)
		require.Len(t, file.Rules.Hosts, 50, path)
	}
}

// Guards against excessive time and output for a file of another format: 1 MiB of
// these lines once took 20 s and gave 524,288 faults.
func TestManyFaultsAreBounded(t *testing.T) {
	_, err := Parse("f", []byte(strings.Repeat("{\n", MaxBytes/2)))
	var faults Errors
	require.ErrorAs(t, err, &faults)
	require.Len(t, faults, 1001)
	require.Equal(t, "f:1001: further faults: found 523288 more, allowed none", faults[1000].Error())
}
