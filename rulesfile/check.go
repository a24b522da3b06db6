package rulesfile

import "primrosedale.example/primrosedale/core/rules"

// Locate ties faults to the file's lines. A fault of a rule that the file
// does not contain is tied to line 1.
func (f *File) Locate(faults []rules.Fault) Errors {
	var located Errors
	for _, fault := range faults {
		line := max(1, f.Lines[fault.Rule])
		key := fault.Rule
		if fault.Key != "" {
			key += "." + fault.Key
		}
		located = append(located, Error{File: f.Name, Line: line, Key: key, Found: fault.Found, Allowed: fault.Allowed})
	}
	located.Sort()
	return located
}
