package gateway

import (
	"math"
	"net/http"
	"strconv"
	"strings"

	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/problem"
)

// The request headers that callers may set.
const (
	idempotencyKeyHeader = "Idempotency-Key"
	idempotentHeader     = "Primrosedale-Idempotent"
	worthHeader          = "Primrosedale-Worth"
	patienceHeader       = "Primrosedale-Patience"
	traceparentHeader    = "Traceparent"
)

// The ranges and defaults of the callers' headers.
const (
	maxIdempotencyKey = 255 // bytes
	maxWorth          = 1000.0
	defaultWorth      = 1.0
	maxPatience       = 43200.0 // seconds: 12 h covers overnight work
	defaultPatience   = 30.0    // seconds
)

// options holds the parsed headers of a caller.
type options struct {
	idempotencyKey string
	idempotent     bool
	worth          float64
	patience       model.Duration
	traceparent    string
}

// parseOptions parses the headers of a caller. An invalid header is reported as
// BadRequest.
func parseOptions(header http.Header) (options, *problem.Problem) {
	var parsed options
	key, p := singleValue(header, idempotencyKeyHeader)
	if p != nil {
		return parsed, p
	}
	if len(header[idempotencyKeyHeader]) > 0 && !isPrintableKey(key) {
		return parsed, problem.New(problem.BadRequest, "%s must have 1 to %d printable ASCII characters", idempotencyKeyHeader, maxIdempotencyKey)
	}
	parsed.idempotencyKey = key
	if parsed.idempotent, p = parseIdempotent(header, key); p != nil {
		return parsed, p
	}
	if parsed.worth, p = parseNumber(header, worthHeader, defaultWorth); p != nil {
		return parsed, p
	}
	if parsed.worth < 0 || parsed.worth > maxWorth {
		return parsed, problem.New(problem.BadRequest, "%s is %g, allowed is 0 to %g", worthHeader, parsed.worth, maxWorth)
	}
	seconds, p := parseNumber(header, patienceHeader, defaultPatience)
	if p != nil {
		return parsed, p
	}
	if seconds <= 0 || seconds > maxPatience {
		return parsed, problem.New(problem.BadRequest, "%s is %g s, allowed is more than 0 up to %g s", patienceHeader, seconds, maxPatience)
	}
	parsed.patience = max(model.Duration(seconds*float64(model.Second)), 1)
	parsed.traceparent = traceparent(header)
	return parsed, nil
}

// singleValue returns the value of a header, or an empty string if it is absent. A
// repeated header is reported as BadRequest.
func singleValue(header http.Header, name string) (string, *problem.Problem) {
	values := header[name]
	if len(values) > 1 {
		return "", problem.New(problem.BadRequest, "%s is given %d times", name, len(values))
	}
	if len(values) == 0 {
		return "", nil
	}
	return values[0], nil
}

func isPrintableKey(key string) bool {
	if key == "" || len(key) > maxIdempotencyKey {
		return false
	}
	for i := range len(key) {
		if key[i] < ' ' || key[i] > '~' {
			return false
		}
	}
	return true
}

// parseIdempotent returns whether a request may run more than once. Without the header
// it may, unless the caller sent an idempotency key.
func parseIdempotent(header http.Header, key string) (bool, *problem.Problem) {
	value, p := singleValue(header, idempotentHeader)
	if p != nil {
		return false, p
	}
	if len(header[idempotentHeader]) == 0 {
		return key == "", nil
	}
	switch value {
	case "true":
		return true, nil
	case "false":
		return false, nil
	}
	return false, problem.New(problem.BadRequest, "%s is %q, allowed is true or false", idempotentHeader, value)
}

func parseNumber(header http.Header, name string, defaultValue float64) (float64, *problem.Problem) {
	value, p := singleValue(header, name)
	if p != nil {
		return 0, p
	}
	if len(header[name]) == 0 {
		return defaultValue, nil
	}
	number, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(number) || math.IsInf(number, 0) {
		return 0, problem.New(problem.BadRequest, "%s is %q, a number is expected", name, value)
	}
	return number, nil
}

// traceparent returns the caller's trace context if it is well formed by the W3C
// recommendation, otherwise an empty string: a malformed trace context is dropped and
// does not cause a refusal.
func traceparent(header http.Header) string {
	values := header[traceparentHeader]
	if len(values) != 1 {
		return ""
	}
	fields := strings.Split(values[0], "-")
	if len(fields) != 4 {
		return ""
	}
	version, trace, parent, flags := fields[0], fields[1], fields[2], fields[3]
	if !isLowerHex(version, 2) || version == "ff" || !isLowerHex(flags, 2) {
		return ""
	}
	if !isLowerHex(trace, 32) || !isLowerHex(parent, 16) {
		return ""
	}
	if strings.Trim(trace, "0") == "" || strings.Trim(parent, "0") == "" {
		return ""
	}
	return values[0]
}

func isLowerHex(s string, length int) bool {
	return len(s) == length && strings.Trim(s, "0123456789abcdef") == ""
}
