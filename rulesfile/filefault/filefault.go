// Package filefault describes faults in TOML files that people edit. Every
// fault names the file, the line, the key, what was found and what is
// allowed, so that the file can be corrected without another document.
package filefault

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Error is one fault in one file.
type Error struct {
	File    string
	Line    int    // counted from 1
	Key     string // rule or key at fault; "syntax" if none could be read
	Found   string
	Allowed string
}

// Error returns "FILE:LINE: KEY: found X, allowed Y".
func (e Error) Error() string {
	return fmt.Sprintf("%s:%d: %s: found %s, allowed %s", e.File, e.Line, e.Key, e.Found, e.Allowed)
}

// Errors is every fault of one file, in the order of lines.
type Errors []Error

// Error returns one fault a line.
func (es Errors) Error() string {
	lines := make([]string, len(es))
	for i, e := range es {
		lines[i] = e.Error()
	}
	return strings.Join(lines, "\n")
}

// Sort orders the faults by line, then by key. Faults of one line and key
// keep their order.
func (es Errors) Sort() {
	slices.SortStableFunc(es, func(a, b Error) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Key, b.Key))
	})
}

// MaxErrors bounds the faults reported for one file, so that the report on a file of
// another format stays readable and small.
const MaxErrors = 1000

// Limited returns at most MaxErrors faults and, if there are more, one that
// states how many are left out.
func (es Errors) Limited() Errors {
	if len(es) <= MaxErrors {
		return es
	}
	last := es[MaxErrors]
	return append(es[:MaxErrors:MaxErrors], Error{
		File: last.File, Line: last.Line, Key: "further faults",
		Found: fmt.Sprintf("%d more", len(es)-MaxErrors), Allowed: "none",
	})
}

// Merge returns the faults and those of more whose line and key have no fault yet. A
// value that could not be parsed is replaced by a fallback, which can cause faults
// in later checks.
func (es Errors) Merge(more Errors) Errors {
	type place struct {
		line int
		key  string
	}
	known := map[place]bool{}
	for _, e := range es {
		known[place{e.Line, e.Key}] = true
	}
	for _, e := range more {
		if !known[place{e.Line, e.Key}] {
			es = append(es, e)
		}
	}
	return es
}

// AsError returns the faults as an error, or nil if there are none. A nil
// Errors in an error interface would not compare equal to nil.
func (es Errors) AsError() error {
	if len(es) == 0 {
		return nil
	}
	return es
}
