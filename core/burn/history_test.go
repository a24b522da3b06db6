package burn

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/rules"
)

const day = 24 * model.Hour

var (
	key   = Key{Team: "press", Service: "render"}
	epoch = model.Time(20_000 * day)
)

// Guards against requests that are not counted or counted twice although no process
// crashed: messages are lost, duplicated and delayed, Records are proposed twice, and
// a change of leader discards what the previous leader had collected.
func TestCountsAreAddedOnceDespiteFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var history History
		now, term, counted := epoch, uint64(1), uint64(0)
		collector := NewCollector(Leader{"a", term})
		hosts := []Process{{"a", "1"}, {"b", "1"}, {"c", "1"}}
		senders := make(map[Process]*Sender)
		for _, p := range hosts {
			senders[p] = NewSender()
		}
		type delivery struct {
			from    Process
			batches []Batch
		}
		var delayed []delivery
		var records []*Record
		apply := func(r *Record) { history.Add(r, now, Keys{key: {}}) }
		propose := func() {
			if r := collector.Due(now, &history); r != nil {
				records = append(records, r)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"time": func(t *rapid.T) { now = now.Add(model.Duration(rapid.IntRange(1, 20).Draw(t, "s")) * model.Second) },
			"count": func(t *rapid.T) {
				n := rapid.Uint64Range(1, 5).Draw(t, "n")
				senders[rapid.SampledFrom(hosts).Draw(t, "host")].Count(key, rapid.SampledFrom(append(BadCauses, Good)).Draw(t, "cause"), n)
				counted += n
			},
			"renew": func(t *rapid.T) {
				p := rapid.SampledFrom(hosts).Draw(t, "host")
				senders[p].Recorded(history.Recorded(p))
				if m := (delivery{p, senders[p].Due(now, term)}); rapid.Bool().Draw(t, "lost") == false {
					delayed = append(delayed, m)
				}
			},
			"deliver": func(t *rapid.T) {
				if len(delayed) > 0 {
					m := rapid.SampledFrom(delayed).Draw(t, "mail")
					collector.Received(m.from, m.batches)
				}
			},
			"propose": func(*rapid.T) { propose() },
			"apply": func(t *rapid.T) {
				if len(records) > 0 {
					apply(rapid.SampledFrom(records).Draw(t, "record")) // the same one may be applied again
				}
			},
			"leader": func(*rapid.T) { term++; collector = NewCollector(Leader{"b", term}) },
			"": func(t *rapid.T) {
				if sum := history.SeriesOf(key).Sum(now, 90*day); sum.Total() > counted {
					t.Fatalf("%d counted, %d recorded", counted, sum.Total())
				}
			},
		})
		for range 3 { // for the open batches, and the counts that could not be sealed yet
			for _, p := range hosts {
				now = now.Add(SealInterval)
				senders[p].Recorded(history.Recorded(p))
				collector.Received(p, senders[p].Last(now, term))
			}
			now = now.Add(RecordInterval)
			if r := collector.Due(now, &history); r != nil {
				apply(r)
			}
		}
		require.Equal(t, counted, history.SeriesOf(key).Sum(now, 90*day).Total())
		for _, p := range hosts {
			senders[p].Recorded(history.Recorded(p))
			require.Empty(t, senders[p].Due(now.Add(ResendInterval), term), "recorded batches are not sent again")
		}
	})
}

func recordOf(at model.Time, p Process, from, to uint64, entries ...Entry) *Record {
	return &Record{Time: at, Advances: []Advance{{p, from, to}}, Entries: entries}
}

// Guards against a delayed batch of an earlier process incarnation that is added
// again after its successor has sent batches.
func TestEarlierIncarnationIsRemembered(t *testing.T) {
	var h History
	add := func(inc model.Incarnation, from, to uint64) bool {
		return h.Add(recordOf(epoch, Process{"a", inc}, from, to, Entry{key, Counts{Good: 1}}), epoch, Keys{key: {}})
	}
	require.True(t, add("1", 0, 5))
	require.True(t, add("2", 0, 1))
	require.False(t, add("1", 0, 5))
	require.False(t, add("1", 3, 6))
	require.False(t, add("2", 2, 3))
	require.Equal(t, uint64(2), h.SeriesOf(key).Sum(epoch, day).Good)
	for i := range 2 * maxIncarnations {
		add(model.Incarnation(fmt.Sprint("x", i)), 0, 1)
	}
	require.Len(t, h.RecordedSeqs, maxIncarnationsPerHost)
}

// Guards against a leader that proposes a Record although nothing changed, or more
// often than every RecordInterval.
func TestRecordsAreRare(t *testing.T) {
	var h History
	c := NewCollector(Leader{"a", 7})
	first := c.Due(epoch, &h)
	require.NotNil(t, first, "a new leader records that it leads")
	h.Add(first, epoch, nil)
	require.Nil(t, c.Due(epoch.Add(RecordInterval), &h))
	c.Received(Process{"a", "1"}, []Batch{{Seq: 1, Entries: []Entry{{key, Counts{Late: 1}}}}})
	now := epoch.Add(RecordInterval)
	require.NotNil(t, c.Due(now, &h))
	require.Nil(t, c.Due(now.Add(RecordInterval-1), &h))
	require.NotNil(t, c.Due(now.Add(RecordInterval), &h), "not recorded yet: proposed again")
}

// Guards against sums and budgets that differ from a direct computation over all
// requests, also when the clock steps back, and against an unbounded number of
// buckets.
func TestSumsAgainstPlainRecomputation(t *testing.T) {
	type request struct {
		at model.Time
		c  Counts
	}
	rapid.Check(t, func(t *rapid.T) {
		var h History
		var all []request
		now := epoch
		for i := range rapid.IntRange(1, 150).Draw(t, "records") {
			now = now.Add(model.Duration(rapid.Int64Range(-int64(2*model.Hour), int64(3*model.Hour)).Draw(t, "step")))
			c := Counts{Good: rapid.Uint64Range(0, 9).Draw(t, "good"), Late: rapid.Uint64Range(0, 2).Draw(t, "late")}
			all = append(all, request{now, c})
			n := uint64(i)
			h.Add(recordOf(now, Process{"a", "1"}, n, n+1, Entry{key, c}, Entry{Key{Team: "not", Service: "wanted"}, c}), now, Keys{key: {}})
		}
		for _, r := range all {
			now = max(now, r.at)
		}
		good := rapid.SampledFrom([]float64{0.5, 0.9, 0.99, 0.999}).Draw(t, "objective")
		for _, d := range []model.Duration{ShortWindow, LongWindow, 2 * model.Hour, 5 * model.Hour, day} {
			width := MinuteWidth
			if d >= 2*model.Hour {
				width = HourWidth
			}
			var want Counts
			for _, r := range all {
				if bucketStart(r.at, width).Add(width) > now.Add(-d) {
					want = want.Plus(r.c)
				}
			}
			sum := h.SeriesOf(key).Sum(now, d)
			require.Equal(t, want, sum, d)
			if total := want.Total(); total > 0 {
				bad := float64(want.Late) / float64(total)
				require.InDelta(t, bad/(1-good), BurnRate(sum, good), 1e-6)
				require.InDelta(t, 1-bad/(1-good), BudgetLeft(sum.Bad(), total, good), 1e-6)
			}
		}
		require.Len(t, h.Series, 1)
		require.LessOrEqual(t, len(h.SeriesOf(key).Minutes), MaxMinuteBuckets)
	})
}

// Guards against an unbounded number of buckets, series or events, and against a
// copy of the history that changes with the original.
func TestHistoryIsBounded(t *testing.T) {
	var s Series
	for i := range MaxHourBuckets + 50 {
		s = s.plus(epoch.Add(model.Duration(i)*model.Hour), Counts{Good: 1})
	}
	require.Len(t, s.Minutes, MaxMinuteBuckets)
	require.Equal(t, uint64(MaxHourBuckets), s.Sum(s.Hour.Start, 400*day).Good)

	var h History
	wanted := Keys{}
	for i := range SeriesMax + 20 {
		k := Key{Team: model.TeamID(fmt.Sprint("t", i)), Service: "render"}
		wanted[k] = struct{}{}
		at, n := epoch.Add(model.Duration(i)*model.Hour), uint64(i)
		h.Add(recordOf(at, Process{"a", "1"}, n, n+1, Entry{k, Counts{Good: 1}}), epoch, wanted)
	}
	require.Len(t, h.Series, SeriesMax)
	require.Empty(t, h.SeriesOf(Key{Team: "t0", Service: "render"}).Minutes, "the oldest series is dropped first")

	for i := range EventsMax + 20 {
		h.AddEvent(Event{At: epoch.Add(model.Duration(i) * model.Hour), Kind: WaveBegun, Name: "w"})
	}
	require.Len(t, h.Events, EventsMax)
	h.AddEvent(Event{At: epoch, Kind: LeaderChanged, Name: "a", Count: 1})
	copied := h
	h.AddEvent(Event{At: epoch, Kind: LeaderChanged, Name: "b", Count: 1})
	require.Equal(t, Event{epoch, LeaderChanged, "b", 2}, h.Events[EventsMax-1])
	require.Equal(t, "a", copied.Events[EventsMax-1].Name)
}

// Guards against a report that shows a missed objective as met, also exactly at the
// limit of the budget, and against plots whose last point is not the budget left.
func TestStateOfObjectives(t *testing.T) {
	cases := []struct {
		earlier, good, bad uint64 // good requests a day earlier; good and bad requests now
		state              ObjectiveState
		left               float64
	}{
		{0, 0, 0, NoWork, 1}, {0, 100, 0, Met, 1}, {0, 99, 1, Met, 0}, {0, 98, 2, Missed, -1},
		{1980, 20, 0, Met, 1}, {1980, 0, 20, AtRisk, 0}, {1980, 0, 21, Missed, 1 - 21/20.01},
	}
	objective := rules.Objective{Team: key.Team, Service: key.Service, Good: 0.99, Window: 30 * day}
	for _, c := range cases {
		s := Series{Key: key}.plus(epoch.Add(-day), Counts{Good: c.earlier}).plus(epoch, Counts{Good: c.good, Lost: c.bad})
		input := ReportInput{
			Now:     epoch,
			Rules:   &rules.Rules{Objectives: map[string]rules.Objective{"o": objective}},
			History: History{Time: epoch, Series: []Series{s}},
		}
		r := input.Report()
		require.Equal(t, c.state, r.Lines[0].State, c)
		require.InDelta(t, c.left, r.Lines[0].BudgetLeft, 1e-6)
		require.Equal(t, c.state != Missed, r.OnTime)
		if n := len(r.Lines[0].Points); n > 0 {
			require.Equal(t, r.Lines[0].BudgetLeft, r.Lines[0].Points[n-1].Left)
		}
	}
}

// Guards against waves and outages whose start or end is missing from a report.
func TestPeriodsPairBeginsAndEnds(t *testing.T) {
	at := func(h int) model.Time { return epoch.Add(model.Duration(h) * model.Hour) }
	got := periods([]Event{
		{at(-9), CentreIn, "north", 0}, // its start is no longer stored
		{at(-30), WaveBegun, "old", 0}, {at(-28), WaveEnded, "old", 0},
		{at(-5), WaveBegun, "k9", 0}, {at(-4), CentreLost, "west", 0}, {at(-3), WaveStopped, "k9", 0},
		{at(-2), HostsLost, "east", 3},
	}, at(-24))
	require.Equal(t, []Period{
		{Kind: PeriodCentreOut, Name: "north", Until: at(-9)},
		{Kind: PeriodWave, Name: "k9", From: at(-5), Until: at(-3), Stopped: true},
		{Kind: PeriodCentreLost, Name: "west", From: at(-4)},
		{Kind: PeriodHostsLost, Name: "east", From: at(-2), Until: at(-2), Count: 3},
	}, got)
}
