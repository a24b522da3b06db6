package schedule

import (
	"math"

	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/schedule/contention"
)

const (
	// earlyMargin is the least factor by which the rate at the beginning of a burst is
	// raised. The short windows hold few jobs, and hosts that come too late for the first
	// jobs cost more than some that are not needed.
	earlyMargin = 1.25
	// minRiseTime is the length of each of the two halves of a burst from which they are
	// compared. Shorter ones hold too few jobs.
	minRiseTime = 200 * model.Millisecond
)

// arrivingTrimmed returns the rate of arriving work, as arriving does, but expects it to
// rise only as far as the arrivals show that. It handles bursts that begin at their full
// height: twice the highest rate of three windows, expected for 2.5 s, orders two to three
// times as many hosts as such a burst needs, most of which leave again unused.
func (p *pool) arrivingTrimmed(now model.Time) model.Resources {
	if p.observedSince == 0 {
		p.observedSince = now
	}
	if now.Sub(p.observedSince) < usualRateTime {
		// The usual rate is not known. This is a new leader, and there may be a burst
		// whose beginning it has not seen.
		return p.arriving(now)
	}
	windows, _ := p.arrivalWindows(now)
	rate := highest(windows)
	p.burst.observe(now, rate)
	if p.burst.beganAt != 0 && now.Sub(p.burst.beganAt) < arrivalWindow {
		return rate.Times(p.rise(now)).PerSecond() // the longest window lags behind
	}
	return windows[len(windows)-1].PerSecond()
}

// arrivalWindows returns the rates of arriving work over the windows that end now,
// shortest first, and the number of jobs in the longest. The rates over shorter ones are
// less one standard deviation of their number of jobs, and are left out if they have too few.
func (p *pool) arrivalWindows(now model.Time) (list []contention.Work, count int) {
	var sum contention.Work
	next := len(p.arrivals) - 1
	for window := shortArrivalWindow; window <= arrivalWindow; window *= 2 {
		for ; next >= 0 && now.Sub(p.arrivals[next].at) <= window; next-- {
			sum = sum.Plus(p.arrivals[next].work)
			count++
		}
		certain := 1.0
		if window < arrivalWindow {
			if count < minBurstArrivals {
				continue
			}
			certain -= 1 / math.Sqrt(float64(count))
		}
		list = append(list, sum.Times(certain/window.Seconds()))
	}
	return list, count
}

func highest(rates []contention.Work) contention.Work {
	var rate contention.Work
	for _, r := range rates {
		rate = rate.Max(r)
	}
	return rate
}

// rise returns the factor by which the rate of a burst that has just begun may still rise.
// It compares the numbers of jobs in the two halves of the burst so far, the first one less
// one standard deviation.
func (p *pool) rise(now model.Time) float64 {
	began := p.burst.beganAt.Add(-shortArrivalWindow)
	half := now.Sub(began) / 2
	early, late := 0.0, 0.0
	for i := range p.arrivals {
		switch at := p.arrivals[i].at.Sub(began); {
		case at >= half:
			late++
		case at >= 0:
			early++
		}
	}
	if half < minRiseTime || early == 0 {
		return earlyMargin
	}
	return min(burstRise, max(earlyMargin, late/max(1, early-math.Sqrt(early))))
}
