// Package model holds the identifiers and value types that the other packages
// share. It imports no other package of the project, so that decision packages and
// traffic packages can exchange values without importing each other.
package model

// Time is a point in time in nanoseconds since the Unix epoch. The control loop
// reads it from a clock that never runs backwards within one process. Times of two
// processes are never compared where safety depends on the result.
type Time int64

// Duration is a length of time in nanoseconds.
type Duration int64

// Units of Duration.
const (
	Microsecond Duration = 1000
	Millisecond          = 1000 * Microsecond
	Second               = 1000 * Millisecond
	Minute               = 60 * Second
	Hour                 = 60 * Minute
)

// maxDuration bounds the durations that callers give, in nanoseconds (208 days), so that
// the sum of 256 of them and a time does not overflow.
const maxDuration Duration = 1 << 54

// maxTime is a time that no process reaches (the year 2116 in Unix nanoseconds).
const maxTime Time = 1 << 62

// DurationOf converts a length of time in nanoseconds. The result is at most 208 days
// long, in either direction; not a number gives 0. A plain conversion of a number that
// is out of range differs between processors.
func DurationOf(nanoseconds float64) Duration {
	if nanoseconds != nanoseconds {
		return 0
	}
	return Duration(min(max(nanoseconds, -float64(maxDuration)), float64(maxDuration)))
}

// UnixMilliseconds converts a number of milliseconds since 1970 or of an interval to
// nanoseconds, at most 2^62 in either direction.
func UnixMilliseconds(ms int64) Time {
	const limit = int64(maxTime) / int64(Millisecond)
	return Time(min(max(ms, -limit), limit)) * Time(Millisecond)
}

// AddRepeated returns the time n intervals after t, at most the year 2116. n and the
// interval are not negative.
func (t Time) AddRepeated(n int, interval Duration) Time {
	t = min(t, maxTime)
	if interval > 0 && Duration(n) > Duration(maxTime-t)/interval {
		return maxTime
	}
	return t + Time(n)*Time(interval)
}

// Add returns the time d after t.
func (t Time) Add(d Duration) Time { return t + Time(d) }

// Sub returns the duration from u to t.
func (t Time) Sub(u Time) Duration { return Duration(t - u) }

// Seconds returns d in seconds.
func (d Duration) Seconds() float64 { return float64(d) / float64(Second) }

// Identifiers. All are non-empty printable ASCII without spaces.
type (
	HostID       string
	DataCentreID string
	RackID       string
	TeamID       string
	QueueID      string
	ServiceID    string
	PoolID       string
	TargetID     string
	TaskID       string
	WorkerID     string
	JobID        string
	// RequestID is unique over all gateways and restarts.
	RequestID string
	// CommandID identifies one submission of a command; a resend keeps it.
	CommandID string
	// Incarnation identifies one start of a process or one creation of a data folder.
	Incarnation string
	// Digest is a lower-case hexadecimal SHA-256.
	Digest string
)

// Resources is an amount of the resources that workers offer and tasks use.
type Resources struct {
	MilliCPU     int64 `json:"milli_cpu"`    // thousandths of a core
	MemoryMB     int64 `json:"memory_mb"`    // megabytes
	Accelerators int64 `json:"accelerators"` // whole devices
}

// MaxAmount is the largest amount of each resource that one worker or task may
// declare, so that sums over the fleet do not overflow.
const MaxAmount = 1 << 40

// Valid reports whether no amount is negative or over MaxAmount.
func (r Resources) Valid() bool {
	valid := func(amount int64) bool { return amount >= 0 && amount <= MaxAmount }
	return valid(r.MilliCPU) && valid(r.MemoryMB) && valid(r.Accelerators)
}

// Add returns r + s.
func (r Resources) Add(s Resources) Resources {
	return Resources{r.MilliCPU + s.MilliCPU, r.MemoryMB + s.MemoryMB, r.Accelerators + s.Accelerators}
}

// Sub returns r - s.
func (r Resources) Sub(s Resources) Resources {
	return Resources{r.MilliCPU - s.MilliCPU, r.MemoryMB - s.MemoryMB, r.Accelerators - s.Accelerators}
}

// Max returns the larger amount of r and s in each dimension.
func (r Resources) Max(s Resources) Resources {
	return Resources{max(r.MilliCPU, s.MilliCPU), max(r.MemoryMB, s.MemoryMB), max(r.Accelerators, s.Accelerators)}
}

// Fits reports whether r is at most s in every dimension.
func (r Resources) Fits(s Resources) bool {
	return r.MilliCPU <= s.MilliCPU && r.MemoryMB <= s.MemoryMB && r.Accelerators <= s.Accelerators
}

// Answer is the complete answer of a target to a request.
type Answer struct {
	Status      int    `json:"status"` // HTTP status code
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
}
