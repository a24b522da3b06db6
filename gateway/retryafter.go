package gateway

import (
	"net/http"
	"strconv"
	"time"

	"primrosedale.example/primrosedale/core/model"
)

// maxRetryAfter bounds the wait that a target can ask for.
const maxRetryAfter = model.Minute

// parseRetryAfter returns the wait that a target asks for, in seconds or as a
// date, or zero if there is no positive one.
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
