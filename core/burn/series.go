package burn

import (
	"slices"

	"primrosedale.example/primrosedale/core/model"
)

// Widths and maximum numbers of the buckets.
const (
	MinuteWidth      = model.Minute
	MaxMinuteBuckets = 120 // 2 hours
	HourWidth        = model.Hour
	MaxHourBuckets   = 90 * 24 // 90 days
)

// Bucket holds the counts of one minute or hour.
type Bucket struct {
	Start model.Time `json:"start"`
	Counts
}

// Series holds the counts of one key over time. Empty buckets are omitted. Buckets
// are dropped by number and not by age, so that a leader whose clock is far ahead
// does not empty the history.
type Series struct {
	Key
	Minutes []Bucket `json:"minutes,omitempty"` // ascending
	Hours   []Bucket `json:"hours,omitempty"`   // ascending, before Hour
	// Hour is the latest hour. It is stored separately from Hours, so that Hours is
	// copied once an hour and not with each Record.
	Hour Bucket `json:"hour"`
}

// plus returns s with counts added at this time. It does not modify the buckets of
// s, because snapshots share them.
func (s Series) plus(at model.Time, counts Counts) Series {
	s.Minutes = addBucket(s.Minutes, bucketStart(at, MinuteWidth), counts, MaxMinuteBuckets)
	hour := bucketStart(at, HourWidth)
	if hour > s.Hour.Start {
		if s.Hour.Start != 0 {
			s.Hours = addBucket(s.Hours, s.Hour.Start, s.Hour.Counts, MaxHourBuckets-1)
		}
		s.Hour = Bucket{Start: hour}
	}
	if hour < s.Hour.Start {
		s.Hours = addBucket(s.Hours, hour, counts, MaxHourBuckets-1)
		return s
	}
	s.Hour.Counts = s.Hour.Plus(counts)
	return s
}

// bucketStart returns the start of the bucket that holds this time.
func bucketStart(at model.Time, width model.Duration) model.Time { return at - at%model.Time(width) }

// addBucket returns a copy of list with counts added to the bucket that starts at
// this time. The oldest buckets beyond limit are dropped.
func addBucket(list []Bucket, at model.Time, counts Counts, limit int) []Bucket {
	i, found := slices.BinarySearchFunc(list, at, func(b Bucket, t model.Time) int { return int(b.Start - t) })
	next := make([]Bucket, 0, len(list)+1)
	next = append(next, list[:i]...)
	bucket := Bucket{Start: at}
	if found {
		bucket = list[i]
		list = list[i+1:]
	} else {
		list = list[i:]
	}
	bucket.Counts = bucket.Plus(counts)
	next = append(append(next, bucket), list...)
	return next[max(0, len(next)-limit):]
}

// buckets returns the buckets that overlap the last d before now, and their width:
// minutes if d is under two hours, otherwise hours.
func (s Series) buckets(now model.Time, d model.Duration) ([]Bucket, model.Duration) {
	list, width := s.Minutes, MinuteWidth
	if d >= MaxMinuteBuckets*MinuteWidth {
		// A window that starts within a minute overlaps one bucket more than it has
		// minutes, so the stored minutes cover slightly less than 2 hours.
		list, width = append(slices.Clip(s.Hours), s.Hour), HourWidth
	}
	first := now.Add(-d)
	i := slices.IndexFunc(list, func(b Bucket) bool { return b.Start.Add(width) > first })
	if i < 0 {
		return nil, width
	}
	return list[i:], width
}

// Sum returns the counts of the last d before now, in whole minutes if d is under
// two hours, otherwise in whole hours.
func (s Series) Sum(now model.Time, d model.Duration) Counts {
	var sum Counts
	list, _ := s.buckets(now, d)
	for _, b := range list {
		sum = sum.Plus(b.Counts)
	}
	return sum
}
