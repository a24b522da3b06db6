package jobs

import "primrosedale.example/primrosedale/core/model"

// LearnedVersion is the version of Learned that this build writes and understands.
const LearnedVersion = 1

// Learned is a digest of what a leader has learned from the runs of its term, from which a
// later leader starts. It is replaced as a whole, never modified.
type Learned struct {
	Version   int                            `json:"v"`
	Durations map[model.QueueID]DurationSums `json:"durations,omitempty"`
}

// DurationSums are the sums from which the times of the tasks of a queue are predicted.
type DurationSums struct {
	Samples    int     `json:"n,omitempty"`
	Weight     float64 `json:"w,omitempty"`
	X          float64 `json:"x,omitempty"`
	Y          float64 `json:"y,omitempty"`
	XX         float64 `json:"xx,omitempty"`
	XY         float64 `json:"xy,omitempty"`
	YY         float64 `json:"yy,omitempty"`
	Estimates  int     `json:"en,omitempty"`
	EstimatesX float64 `json:"ex,omitempty"`
}
