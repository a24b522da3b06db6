package core

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
)

// Environment variables of the property test.
const (
	seedVariable  = "SIM_SEED"  // run this seed only, with its whole trace
	seedsVariable = "SIM_SEEDS" // number of seeds to run
	seedsDefault  = 200
	traceKept     = 40 // lines of the trace shown for a failure
)

// Guards against a decision that breaks an invariant of the design when messages,
// disks, hosts, targets, callers and operators misbehave at the same time.
func TestInvariantsUnderFaults(t *testing.T) {
	if value := os.Getenv(seedVariable); value != "" {
		seed, err := strconv.ParseUint(value, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		simulate(t, seed, true)
		return
	}
	seeds := seedsDefault
	if value := os.Getenv(seedsVariable); value != "" {
		seeds, _ = strconv.Atoi(value)
	}
	for seed := 1; seed <= seeds; seed++ {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			t.Parallel()
			simulate(t, uint64(seed), false)
		})
	}
}

func simulate(t *testing.T, seed uint64, verbose bool) {
	sim := newSimulation(t, seed)
	sim.verbose = verbose
	sim.build()
	sim.startOperators()
	sim.startCallers()
	sim.scheduleFaults()
	sim.every(50*ms, func() {
		for _, h := range sim.hosts {
			sim.checkServing(h)
		}
	})
	sim.run()
	if sim.failure == "" {
		sim.checkAfterFaults()
		sim.checkAnswered()
		sim.checkNothingHeld()
	}
	sim.report()
	if sim.failure != "" {
		last := sim.trace[max(0, len(sim.trace)-traceKept):]
		t.Errorf("%s=%d at %.3f s: %s\n%s", seedVariable, seed, float64(sim.now)/float64(second), sim.failure, strings.Join(last, "\n"))
	}
}
