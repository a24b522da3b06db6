package filefault

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
)

// Report receives one fault of a table. The key is relative to the table and
// is empty for a fault of the table as a whole.
type Report func(key, found, allowed string)

// Table reads typed values from one decoded TOML table. It reports an invalid value
// and returns the fallback in its place, so that one pass finds every fault of the
// table.
type Table struct {
	values   map[string]any
	report   Report
	readKeys []string
}

// NewTable returns a reader of values, which were decoded by go-toml.
func NewTable(values map[string]any, report Report) *Table {
	return &Table{values: values, report: report}
}

// Has reports whether the table contains key.
func (t *Table) Has(key string) bool {
	_, ok := t.values[key]
	return ok
}

// Require reports each of the keys that is missing in the table.
func (t *Table) Require(keys ...string) {
	for _, key := range keys {
		if !t.Has(key) {
			t.report(key, "nothing", "a value: the key is required")
		}
	}
}

// ReportUnknownKeys reports every key that was not read from the table.
func (t *Table) ReportUnknownKeys() {
	allowed := "one of " + strings.Join(t.readKeys, ", ")
	for key := range t.values {
		if !slices.Contains(t.readKeys, key) {
			t.report(key, "an unknown key", allowed)
		}
	}
}

// Int returns an integer from min to max.
func (t *Table) Int(key string, fallback, min, max int64) int64 {
	value, ok := t.lookup(key)
	if !ok {
		return fallback
	}
	number, ok := value.(int64)
	if !ok || number < min || number > max {
		t.report(key, Describe(value), fmt.Sprintf("a whole number from %d to %d", min, max))
		return fallback
	}
	return number
}

// Interval bounds a number. The bounds themselves are allowed unless Open is set.
type Interval struct {
	Min, Max float64
	Open     bool
}

func (i Interval) contains(v float64) bool {
	if math.IsNaN(v) {
		return false
	}
	if i.Open {
		return v > i.Min && v < i.Max
	}
	return v >= i.Min && v <= i.Max
}

func (i Interval) String() string {
	if i.Open {
		return fmt.Sprintf("a number over %s and under %s", FormatNumber(i.Min), FormatNumber(i.Max))
	}
	return fmt.Sprintf("a number from %s to %s", FormatNumber(i.Min), FormatNumber(i.Max))
}

// Number returns a number in the interval, written as integer or decimal.
func (t *Table) Number(key string, fallback float64, interval Interval) float64 {
	value, ok := t.lookup(key)
	if !ok {
		return fallback
	}
	number, ok := asNumber(value)
	if !ok || !interval.contains(number) {
		t.report(key, Describe(value), interval.String())
		return fallback
	}
	return number
}

// Bool returns a boolean value.
func (t *Table) Bool(key string, fallback bool) bool {
	value, ok := t.lookup(key)
	if !ok {
		return fallback
	}
	flag, ok := value.(bool)
	if !ok {
		t.report(key, Describe(value), "true or false")
		return fallback
	}
	return flag
}

// Text returns a string for which valid holds; allowed describes it.
func (t *Table) Text(key, fallback, allowed string, valid func(string) bool) string {
	value, ok := t.lookup(key)
	if !ok {
		return fallback
	}
	text, ok := value.(string)
	if !ok || !valid(text) {
		t.report(key, Describe(value), allowed)
		return fallback
	}
	return text
}

// Texts returns a non-empty list of distinct strings for each of which valid
// holds; allowed describes one of them.
func (t *Table) Texts(key, allowed string, valid func(string) bool) []string {
	value, ok := t.lookup(key)
	if !ok {
		return nil
	}
	list, ok := value.([]any)
	if !ok || len(list) == 0 {
		t.report(key, Describe(value), "a list of at least one of: "+allowed)
		return nil
	}
	var texts []string
	seen := map[string]bool{}
	for _, item := range list {
		text, ok := item.(string)
		switch {
		case !ok || !valid(text):
			t.report(key, Describe(item), allowed)
		case seen[text]:
			t.report(key, Describe(item)+" twice", "each entry once")
		default:
			seen[text] = true
			texts = append(texts, text)
		}
	}
	return texts
}

// Table returns the nested table of key, which is empty if the key is absent
// or not a table.
func (t *Table) Table(key string) *Table {
	report := func(inner, found, allowed string) {
		t.report(key+"."+inner, found, allowed)
	}
	value, ok := t.lookup(key)
	if !ok {
		return NewTable(nil, report)
	}
	values, ok := value.(map[string]any)
	if !ok {
		t.report(key, Describe(value), "a table")
	}
	return NewTable(values, report)
}

// Tables returns the tables of a [[key]] list. Faults in the table of index
// i have the key "key[i].inner".
func (t *Table) Tables(key string) []*Table {
	value, ok := t.lookup(key)
	if !ok {
		return nil
	}
	list, ok := value.([]any)
	if !ok {
		t.report(key, Describe(value), "a list of tables")
		return nil
	}
	var tables []*Table
	for i, item := range list {
		prefix := fmt.Sprintf("%s[%d]", key, i)
		values, ok := item.(map[string]any)
		if !ok {
			t.report(prefix, Describe(item), "a table")
		}
		tables = append(tables, NewTable(values, func(inner, found, allowed string) {
			t.report(prefix+"."+inner, found, allowed)
		}))
	}
	return tables
}

func (t *Table) lookup(key string) (any, bool) {
	t.readKeys = append(t.readKeys, key)
	value, ok := t.values[key]
	return value, ok
}

func asNumber(value any) (float64, bool) {
	switch v := value.(type) {
	case int64:
		return float64(v), true
	case float64:
		return v, true
	default:
		return 0, false
	}
}

// FormatNumber returns the shortest decimal that parses to v.
func FormatNumber(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }

// maxQuotedBytes bounds a quoted value in a message.
const maxQuotedBytes = 60

// Describe returns the description of a TOML value in a fault.
func Describe(value any) string {
	switch v := value.(type) {
	case string:
		return Quote(v)
	case int64:
		return strconv.FormatInt(v, 10)
	case float64:
		return FormatNumber(v)
	case bool:
		return strconv.FormatBool(v)
	case []any:
		return fmt.Sprintf("a list of %d", len(v))
	case map[string]any:
		return "a table"
	default:
		return "a date or time"
	}
}

// Quote returns s in quotes, truncated to a readable length.
func Quote(s string) string {
	if len(s) > maxQuotedBytes {
		return strconv.Quote(s[:maxQuotedBytes]) + "..."
	}
	return strconv.Quote(s)
}

// IdentifierAllowed describes what IsIdentifier accepts.
const IdentifierAllowed = "an identifier of 1 to 64 letters, digits, '.', '_' or '-', starting with a letter or digit"

const maxIdentifierBytes = 64

// IsIdentifier reports whether s is a valid name of a team, queue, host or other object.
// The characters need no escaping in URLs, file names and TOML strings.
func IsIdentifier(s string) bool {
	if s == "" || len(s) > maxIdentifierBytes {
		return false
	}
	for i := range len(s) {
		if !isIdentifierByte(s[i], i == 0) {
			return false
		}
	}
	return true
}

func isIdentifierByte(c byte, first bool) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		return true
	default:
		return !first && (c == '.' || c == '_' || c == '-')
	}
}
