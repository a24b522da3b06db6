package rulesfile

import (
	"strings"

	"primrosedale.example/primrosedale/core/rules"
)

// Locate maps faults of the rules to lines of the file. A fault that concerns all
// rules of a kind, such as the sum of shares, gets the line of the first of them, and
// a fault of a rule that the file does not contain gets line 1.
func (f *File) Locate(faults []rules.Fault) Errors {
	var located Errors
	for _, fault := range faults {
		key := fault.Rule
		if fault.Key != "" {
			key += "." + fault.Key
		}
		located = append(located, Error{
			File: f.Name, Line: f.lineOf(fault.Rule), Key: key, Found: fault.Found, Allowed: fault.Allowed,
		})
	}
	located.Sort()
	return located
}

func (f *File) lineOf(rule string) int {
	if line, ok := f.Lines[rule]; ok {
		return line
	}
	if !isKind(rule) {
		return 1
	}
	first := 0
	for other, line := range f.Lines {
		if strings.HasPrefix(other, rule+".") && (first == 0 || line < first) {
			first = line
		}
	}
	return max(1, first)
}
