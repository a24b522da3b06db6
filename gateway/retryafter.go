package gateway

import (
	"net/http"
	"strconv"
	"time"

	"primrosedale.example/primrosedale/core/model"
)

// maxRetryAfter bounds the delay that a target can request.
const maxRetryAfter = model.Minute

// parseRetryAfter returns the delay that a target requests, in seconds or as a date,
// or zero if it requests no positive delay.
func parseRetryAfter(header http.Header, now model.Time) model.Duration {
	value := header.Get("Retry-After")
	if value == "" {
		return 0
	}
	wait := model.Duration(0)
	if seconds, err := strconv.ParseUint(value, 10, 32); err == nil {
		wait = model.Duration(seconds) * model.Second
	} else if date, err := http.ParseTime(value); err == nil {
		wait = model.Duration(date.Sub(time.Unix(0, int64(now))))
	}
	return min(max(wait, 0), maxRetryAfter)
}
