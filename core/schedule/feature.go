package schedule

import (
	"fmt"
	"slices"
	"strings"
)

// Feature is a decision that an operator can switch off or on.
type Feature uint

// The features.
const (
	Contention      Feature = iota // shares of capacity by work, and admission by likely lateness
	Reservations                   // capacity held for gangs and large tasks that wait
	WavePlanning                   // hosts of a wave are drained ahead of its due time
	PoolTrim                       // pools keep fewer hosts beyond their need
	DurableRefusals                // refusals of submissions that a lost leader may hold
	LearnedState                   // predictions that survive a change of leader
	OrderLimits                    // orders to the owner of the hosts are spread over time
)

var featureNames = []string{"contention", "reservations", "wave-planning", "pool-trim", "durable-refusals", "learned-state", "order-limits"}

// String returns the name of the feature in settings.
func (f Feature) String() string { return featureNames[f] }

// FeatureSet is a set of features.
type FeatureSet uint

// AllFeatures contains every feature.
var AllFeatures = FeatureSet(1<<len(featureNames) - 1)

// OffByDefault contains the features that have to be switched on, because on some of the
// deployments that were played fewer jobs were on time with them. With PoolTrim, pools had
// too few hosts at the beginning of a burst; with Contention, callers whose attempts had
// failed while there was no leader were refused for good.
const OffByDefault = FeatureSet(1<<PoolTrim | 1<<Contention)

// ParseFeatures parses a comma-separated list of names. The empty list is the empty set.
func ParseFeatures(list string) (FeatureSet, error) {
	var set FeatureSet
	for name := range strings.SplitSeq(list, ",") {
		if name = strings.TrimSpace(name); name == "" {
			continue
		}
		f := slices.Index(featureNames, name)
		if f < 0 {
			return 0, fmt.Errorf("unknown feature %q, known are %s", name, strings.Join(featureNames, ", "))
		}
		set |= 1 << f
	}
	return set, nil
}

// Disabled returns the features that are off, given those that are switched on and off. One
// that is in both is off.
func Disabled(on, off FeatureSet) FeatureSet { return OffByDefault&^on | off }

// Has reports whether the set contains a feature.
func (s FeatureSet) Has(f Feature) bool { return s&(1<<f) != 0 }

// Enabled reports whether a feature is not switched off.
func (b Bounds) Enabled(f Feature) bool { return !b.Disabled.Has(f) }
