package rulesfile

import (
	"errors"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/rules"
)

var identifiers = rapid.StringMatching(`[a-zA-Z0-9][a-zA-Z0-9._-]{0,10}`)

func identifierOf[K ~string]() *rapid.Generator[K] {
	return rapid.Custom(func(t *rapid.T) K { return K(identifiers.Draw(t, "id")) })
}

// mapOf draws a map that is nil if it has no entries, as Parse returns it.
func mapOf[K ~string, V any](t *rapid.T, label string, value func(*rapid.T) V) map[K]V {
	m := rapid.MapOfN(identifierOf[K](), rapid.Custom(value), 0, 4).Draw(t, label)
	if len(m) == 0 {
		return nil
	}
	return m
}

func drawKey[K ~string, V any](t *rapid.T, m map[K]V) K {
	return rapid.SampledFrom(sortedKeys(m)).Draw(t, "reference")
}

// sortedKeys makes draws independent of the iteration order of the map.
func sortedKeys[K ~string, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}

func drawQueue(t *rapid.T, teams map[model.TeamID]rules.Team) rules.Queue {
	q := rules.Queue{
		Service:    identifierOf[model.ServiceID]().Draw(t, "service"),
		Precedence: rapid.IntRange(0, 9).Draw(t, "precedence"),
		MaxRun:     model.Duration(rapid.Int64Range(1000, int64(rules.MaxMaxRun/model.Millisecond)).Draw(t, "max_run")) * model.Millisecond,
		Overnight:  rapid.Bool().Draw(t, "overnight"),
	}
	if len(teams) > 0 && rapid.Bool().Draw(t, "open") {
		q.Open = true
		q.Team = drawKey(t, teams)
	}
	return q
}

func drawRules(t *rapid.T) *rules.Rules {
	r := &rules.Rules{Revision: rapid.Uint64Range(1, 1<<63-1).Draw(t, "revision")}
	r.Teams = mapOf[model.TeamID](t, "teams", func(t *rapid.T) rules.Team {
		// mapOf draws at most 4 teams, and shares add up to at most 100.
		return rules.Team{Share: rapid.Float64Range(0, 25).Draw(t, "share"), Limit: rapid.IntRange(1, maxLimit).Draw(t, "limit")}
	})
	r.Queues = mapOf[model.QueueID](t, "queues", func(t *rapid.T) rules.Queue { return drawQueue(t, r.Teams) })
	r.Pools = mapOf[model.PoolID](t, "pools", func(t *rapid.T) rules.Pool {
		return rules.Pool{
			HostsMin:       rapid.IntRange(0, maxHosts).Draw(t, "hosts_min"),
			UnavailableMax: rapid.IntRange(0, maxHosts).Draw(t, "unavailable_max"),
			Spare:          rapid.Bool().Draw(t, "spare"),
		}
	})
	r.DataCentres = mapOf[model.DataCentreID](t, "data centres", func(t *rapid.T) rules.DataCentre {
		return rules.DataCentre{Out: rapid.Bool().Draw(t, "out")}
	})
	if len(r.Pools) > 0 {
		r.Waves = mapOf[string](t, "waves", func(t *rapid.T) rules.Wave {
			pools := rapid.SliceOfNDistinct(rapid.SampledFrom(sortedKeys(r.Pools)), 1, -1, rapid.ID[model.PoolID]).Draw(t, "pools")
			return rules.Wave{Pools: pools, Image: rapid.StringMatching(`[!-~]{1,20}`).Draw(t, "image")}
		})
		r.Hosts = mapOf[model.HostID](t, "hosts", func(t *rapid.T) rules.HostPlacement {
			return rules.HostPlacement{Pool: drawKey(t, r.Pools)}
		})
	}
	if len(r.Teams) > 0 && len(r.Queues) > 0 {
		r.Objectives = mapOf[string](t, "objectives", func(t *rapid.T) rules.Objective {
			o := rules.Objective{
				Team:   drawKey(t, r.Teams),
				Good:   rapid.Float64Range(0.001, 0.999999).Draw(t, "good"),
				Window: model.Duration(rapid.Int64Range(1, maxWindowH).Draw(t, "window")) * model.Hour,
			}
			if len(r.Pools) > 0 && rapid.Bool().Draw(t, "tasks") {
				o.Pool = drawKey(t, r.Pools)
			} else {
				o.Service = r.Queues[drawKey(t, r.Queues)].Service
			}
			return o
		})
	}
	return r
}

// Guards against a restored configuration that differs from the replicated one because
// of lost precision, quoting or order.
func TestFormatReadsBackEqual(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := drawRules(t)
		file, err := Parse("f", Format(want))
		require.NoError(t, err)
		require.Equal(t, want, file.Rules)
		require.Empty(t, Diff(want, file.Rules))
	})
}

// Guards against an unnoticed change of the canonical form, whose hash is compared
// between hosts and releases.
func TestFormat(t *testing.T) {
	file, err := Parse("f", []byte(baseRules+"host.\"b.c\" = { pool = \"render\" } # x\nhost.a = { pool = \"render\" } # x\n"))
	require.NoError(t, err)
	require.Equal(t, strings.Join([]string{
		`revision = 1  # restored from revision 1`,
		`team.press = { share = 30, limit = 120 }  # restored from revision 1`,
		`queue.proofs = { service = "render", precedence = 0, max_run_s = 60 }  # restored from revision 1`,
		`pool.render = { hosts_min = 12, unavailable_max = 2 }  # restored from revision 1`,
		`host.a = { pool = "render" }  # restored from revision 1`,
		`host."b.c" = { pool = "render" }  # restored from revision 1`,
		``,
	}, "\n"), string(Format(file.Rules)))
}

// Guards against a difference that diff does not show to an operator before or after
// a file is applied.
func TestDiff(t *testing.T) {
	from := &rules.Rules{Revision: 1, Teams: map[model.TeamID]rules.Team{"a": {Share: 1, Limit: 1}, "b": {Share: 2, Limit: 2}}}
	to := &rules.Rules{Revision: 2, Teams: map[model.TeamID]rules.Team{"b": {Share: 2, Limit: 3}, "c": {Share: 4, Limit: 4}}}
	require.Equal(t, []Change{
		{Rule: "revision", Op: Changed, From: "1", To: "2"},
		{Rule: "team.a", Op: Removed, From: "{ share = 1, limit = 1 }"},
		{Rule: "team.b", Op: Changed, From: "{ share = 2, limit = 2 }", To: "{ share = 2, limit = 3 }"},
		{Rule: "team.c", Op: Added, To: "{ share = 4, limit = 4 }"},
	}, Diff(from, to))
	require.Len(t, Diff(nil, to), 3)
	require.Empty(t, Diff(nil, nil))
}

// Guards against a panic or an incomplete fault on any text that an operator can
// submit, and against accepted rules that Format and Parse cannot restore.
func FuzzParse(f *testing.F) {
	f.Add([]byte(baseRules))
	f.Add([]byte("wave.w = { pools = [\n\"a\"], image = \"\"\"\nb\"\"\" } # x\n[t]\n[[u]]\nrevision = 1e3\n"))
	f.Add([]byte("team.\"a.b\" = { share = -0.0, limit = 0x10 } # \u00e9\r\nhost.x = 1979-05-27"))
	for _, path := range []string{"../examples/vakoas/rules.toml", "../examples/ulaanbaatar/rules.toml"} {
		text, err := os.ReadFile(path)
		require.NoError(f, err)
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		file, err := Parse("f", text)
		if err == nil {
			again, err := Parse("f", Format(file.Rules))
			require.NoError(t, err)
			require.Equal(t, file.Rules, again.Rules)
			return
		}
		var faults Errors
		require.True(t, errors.As(err, &faults))
		require.NotEmpty(t, faults)
		lines := strings.Count(string(text), "\n") + 1
		for _, e := range faults {
			require.True(t, e.Line >= 1 && e.Line <= lines, e.Error())
			require.NotEmpty(t, e.Key)
			require.NotEmpty(t, e.Found)
			require.NotEmpty(t, e.Allowed)
			require.NotContains(t, e.Error(), "\n")
		}
	})
}
