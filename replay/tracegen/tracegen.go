// Package tracegen generates seeded traces at the sizes of the two example deployments.
// The same settings always give the same trace.
package tracegen

import (
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"

	"github.com/juju/errors"
	"github.com/pelletier/go-toml/v2"

	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/rules"
	"primrosedale.example/primrosedale/replay"
	"primrosedale.example/primrosedale/rulesfile"
)

// Settings describe the trace to generate.
type Settings struct {
	Deployment string  `toml:"deployment"`
	Scenario   string  `toml:"scenario"`
	Seed       uint64  `toml:"seed"`
	Seconds    float64 `toml:"seconds"`
	Rules      string  `toml:"rules"` // path of the rules file, relative to the settings
}

// maxSeconds is the largest length of a trace: one day.
const maxSeconds = 24 * 3600

// Load reads trace settings and generates their trace. A seed other than 0 replaces
// the seed of the settings.
func Load(path string, seed uint64) (*replay.Trace, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Annotate(err, "reading trace settings")
	}
	var s Settings
	if err := toml.Unmarshal(text, &s); err != nil {
		return nil, errors.Annotatef(err, "trace settings %s", path)
	}
	if seed != 0 {
		s.Seed = seed
	}
	rules, err := os.ReadFile(filepath.Join(filepath.Dir(path), s.Rules))
	if err != nil {
		return nil, errors.Annotate(err, "reading the rules of a trace")
	}
	t, err := Generate(s, string(rules))
	return t, errors.Annotatef(err, "trace settings %s", path)
}

// Generate generates a trace under the given text of the rules.
func Generate(s Settings, text string) (*replay.Trace, error) {
	d, ok := deployments[s.Deployment]
	if !ok {
		return nil, errors.NotFoundf("deployment %q", s.Deployment)
	}
	build, ok := scenarios[s.Scenario]
	if !ok {
		return nil, errors.NotFoundf("scenario %q", s.Scenario)
	}
	// The negated condition also rejects NaN.
	if !(s.Seconds > 0 && s.Seconds <= maxSeconds) {
		return nil, errors.NotValidf("%g seconds, allowed is more than 0 up to %d", s.Seconds, maxSeconds)
	}
	file, err := rulesfile.Parse("rules of the trace", []byte(text))
	if err != nil {
		return nil, errors.Trace(err)
	}
	g := &generator{
		rules:      file.Rules,
		deployment: d, seconds: s.Seconds, rand: rand.New(rand.NewPCG(s.Seed, 0)),
		trace: &replay.Trace{Header: replay.Header{
			Version: replay.Version, Name: s.Deployment + "-" + s.Scenario, Seed: s.Seed,
			Length: seconds(s.Seconds), Rules: text,
		}},
	}
	build(g)
	slices.SortStableFunc(g.trace.Events, func(a, b replay.Event) int {
		switch {
		case a.At < b.At:
			return -1
		case a.At > b.At:
			return 1
		default:
			return 0
		}
	})
	return g.trace, nil
}

func seconds(s float64) replay.Millis { return replay.Millis(math.Round(s*1e6) / 1e3) }

// generator builds the events of one trace.
type generator struct {
	deployment deployment
	seconds    float64
	rand       *rand.Rand
	rules      *rules.Rules
	trace      *replay.Trace
	requests   int
}

func (g *generator) add(at float64, e replay.Event) {
	e.At = seconds(at)
	g.trace.Events = append(g.trace.Events, e)
}

// dataCentre returns the data centre of the i-th target.
func (d deployment) dataCentre(i int) model.DataCentreID { return d.dataCentres[i%len(d.dataCentres)] }

// lognormal returns a value of the given mean whose logarithm has the
// standard deviation spread.
func (g *generator) lognormal(mean, spread float64) float64 {
	return mean * math.Exp(g.rand.NormFloat64()*spread-spread*spread/2)
}
