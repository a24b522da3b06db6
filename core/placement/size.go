package placement

import (
	"strings"

	"primrosedale.example/primrosedale/core/fleet"
	"primrosedale.example/primrosedale/core/model"
)

const (
	// samplesNeeded is the number of runs after which learned sizes replace declared
	// ones.
	samplesNeeded = 3
	// peakDecay is the weight with which a smaller sample lowers the peak.
	peakDecay = 0.1
	// errorWeight is the weight of a new sample in the mean deviation.
	errorWeight = 0.25
	// errorHeadroom is the number of mean deviations that are added to the peak.
	errorHeadroom = 2.0
	// sizesMax bounds the number of kinds whose sizes are stored; the kind that was
	// added first is evicted first.
	sizesMax = 4096
)

// sizeKey identifies a kind of task: the tasks of one team that run the same program.
type sizeKey struct {
	team    model.TeamID
	program string
}

// sizeKeyOf uses the first word of the command as the program.
func sizeKeyOf(t *fleet.Task) sizeKey {
	program, _, _ := strings.Cut(t.Spec.Command, " ")
	return sizeKey{t.Team, program}
}

// sizes holds the resource needs learned from runs, by kind of task.
type sizes struct {
	kinds       map[sizeKey]*usageStats
	oldestFirst []sizeKey // in the order of their first sample
}

// usageStats is the observed resource usage of one kind of task.
type usageStats struct {
	samples     int
	cpu, memory peakEstimate
}

// peakEstimate estimates the peak usage of one resource.
type peakEstimate struct{ peak, meanError float64 }

func newSizes() *sizes { return &sizes{kinds: make(map[sizeKey]*usageStats)} }

// add adds the peak usage of one run. Accelerators are whole devices that a run holds
// whether or not it uses them, so their declared number is kept.
func (s *sizes) add(key sizeKey, peak model.Resources) {
	k := s.kinds[key]
	if k == nil {
		if len(s.oldestFirst) >= sizesMax {
			delete(s.kinds, s.oldestFirst[0])
			s.oldestFirst = s.oldestFirst[1:]
		}
		k = &usageStats{}
		s.kinds[key] = k
		s.oldestFirst = append(s.oldestFirst, key)
	}
	k.cpu.add(float64(peak.MilliCPU), k.samples == 0)
	k.memory.add(float64(peak.MemoryMB), k.samples == 0)
	k.samples++
}

func (e *peakEstimate) add(sample float64, first bool) {
	if first {
		e.peak = sample
		return
	}
	deviation := sample - e.peak
	if deviation < 0 {
		e.peak += peakDecay * deviation
		deviation = -deviation
	} else {
		e.peak = sample
	}
	e.meanError += errorWeight * (deviation - e.meanError)
}

func (e *peakEstimate) value() int64 { return int64(e.peak + errorHeadroom*e.meanError + 0.5) }

// size returns the resources to reserve for a task of the kind.
func (s *sizes) size(key sizeKey, declared model.Resources) model.Resources {
	k := s.kinds[key]
	if k == nil {
		return declared
	}
	learned := model.Resources{
		MilliCPU: max(k.cpu.value(), 1), MemoryMB: k.memory.value(), Accelerators: declared.Accelerators,
	}
	if k.samples < samplesNeeded {
		return larger(learned, declared)
	}
	return learned
}

// larger returns the element-wise maximum of a and b.
func larger(a, b model.Resources) model.Resources {
	return model.Resources{
		MilliCPU:     max(a.MilliCPU, b.MilliCPU),
		MemoryMB:     max(a.MemoryMB, b.MemoryMB),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}

// need returns the resources to reserve for a task on a worker. Declared sizes of CPU
// and memory are hints that are often far too large, so a size above the largest
// worker is reduced to that worker's capacity. The number of accelerators is a hard
// requirement and is not reduced.
func (p *Placer) need(t *fleet.Task) model.Resources {
	size := p.sizes.size(sizeKeyOf(t), t.Spec.Size)
	if largest := p.pool(t.Spec.Pool).largest; largest.MilliCPU > 0 {
		size.MilliCPU = min(size.MilliCPU, largest.MilliCPU)
		size.MemoryMB = min(size.MemoryMB, largest.MemoryMB)
	}
	return size
}

// observeUsage records the reported usage of a run. The reservation of the run is
// never below its observed peak.
func (p *Placer) observeUsage(env Env, r *record, usage model.Resources) {
	peak := larger(r.peak, usage)
	if peak == r.peak {
		return
	}
	r.peak = peak
	if amount := larger(r.reserved, peak); amount != r.reserved {
		p.reserve(env, r, amount)
	}
}

// learnSize adds the peak usage of a run that has ended. Reports lag behind, so a
// short run may have shown no usage at all.
func (p *Placer) learnSize(r *record) {
	if r.throttled {
		return // its CPU usage is not typical of the kind
	}
	if r.peak.MilliCPU > 0 || r.peak.MemoryMB > 0 {
		p.sizes.add(sizeKeyOf(r.task), r.peak)
	}
}
