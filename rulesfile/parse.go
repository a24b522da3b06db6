// Package rulesfile reads and writes the operators' rules file: TOML with
// exactly one line for each rule and, on the same line, a comment that names
// who asked for it. The format is described in docs/rules.md.
package rulesfile

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math"
	"strconv"

	"github.com/pelletier/go-toml/v2/unstable"

	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/rules"
	"primrosedale.example/primrosedale/rulesfile/filefault"
)

// Error is one fault in a rules file.
type Error = filefault.Error

// Errors is every fault found in a rules file.
type Errors = filefault.Errors

// MaxBytes bounds the text of a rules file. It equals the limit on request
// bodies, in which the file is submitted.
const MaxBytes = 1 << 20

// File is a rules file that was parsed without faults.
type File struct {
	Name       string
	Rules      *rules.Rules
	Hash       model.Digest      // of the text
	Lines      map[string]int    // rule, such as "team.press", to its line
	Requesters map[string]string // rule to the comment on its line
}

// Hash returns the content hash of a rules file.
func Hash(text []byte) model.Digest {
	sum := sha256.Sum256(text)
	return model.Digest(hex.EncodeToString(sum[:]))
}

// Parse parses the text of a rules file. The name is used in faults only. The
// error is of type Errors and contains every fault found, up to
// filefault.MaxErrors.
func Parse(name string, text []byte) (*File, error) {
	p := &parser{
		file: &File{
			Name:       name,
			Rules:      &rules.Rules{},
			Hash:       Hash(text),
			Lines:      map[string]int{},
			Requesters: map[string]string{},
		},
	}
	if len(text) > MaxBytes {
		p.fault(1, "syntax", fmt.Sprintf("%d bytes", len(text)), fmt.Sprintf("at most %d bytes", MaxBytes))
		return nil, p.errors
	}
	scan(text, p)
	p.requireRevision()
	p.checkRules()
	p.errors.Sort()
	if err := p.errors.Limited().AsError(); err != nil {
		return nil, err
	}
	return p.file, nil
}

// parser collects the rules and faults of one file.
type parser struct {
	file   *File
	tree   unstable.Parser // reused for each line to save allocations
	errors Errors
	// unidentified is set once the rule of a line could not be identified. Other
	// rules may refer to that rule, so references are then not checked.
	unidentified bool
	// inTable is set after a [table] header. The keys after it belong to the table,
	// for which the header was already reported.
	inTable bool
}

func (p *parser) fault(line int, key, found, allowed string) {
	p.errors = append(p.errors, Error{File: p.file.Name, Line: line, Key: key, Found: found, Allowed: allowed})
}

// syntax records a fault of a line that could not be parsed.
func (p *parser) syntax(line int, found, allowed string) {
	p.unidentified = true
	p.fault(line, "syntax", found, allowed)
}

func (p *parser) requireRevision() {
	if _, ok := p.file.Lines[revisionKind]; !ok && !p.unidentified {
		p.fault(1, revisionKind, "nothing", "one line: revision = N")
	}
}

func (p *parser) checkRules() {
	if p.unidentified {
		return
	}
	p.errors = p.errors.Merge(p.file.Locate(p.file.Rules.Check()))
}

// rule adds the rule of one statement.
func (p *parser) rule(s statement) {
	kind := s.key[0]
	if p.inTable && !isKind(kind) {
		return
	}
	rule, ok := p.ruleName(s)
	if !ok {
		return
	}
	if s.lines > 1 {
		p.fault(s.line, rule, fmt.Sprintf("a rule spread over %d lines", s.lines), "one line for each rule")
	}
	if s.comment == "" {
		p.fault(s.line, rule, "no comment", "a comment on the same line that names who asked: # NAME")
	}
	if first, ok := p.file.Lines[rule]; ok {
		p.fault(s.line, rule, "a second rule of this name", fmt.Sprintf("one; the first is on line %d", first))
		return
	}
	p.file.Lines[rule] = s.line
	p.file.Requesters[rule] = s.comment
	if kind == revisionKind {
		p.revision(s)
		return
	}
	p.decode(s, rule)
}

// ruleName returns the name of the rule of s, such as "team.press".
func (p *parser) ruleName(s statement) (string, bool) {
	kind := s.key[0]
	path := joinKey(s.key)
	switch {
	case !isKind(kind):
		p.unidentified = true
		p.fault(s.line, path, "unknown rule kind "+filefault.Quote(kind), "one of "+kindList)
	case kind == revisionKind && len(s.key) != 1:
		p.fault(s.line, path, fmt.Sprintf("a key of %d parts", len(s.key)), "revision = N")
	case kind != revisionKind && len(s.key) != 2:
		p.unidentified = true
		p.fault(s.line, path, fmt.Sprintf("a key of %d parts", len(s.key)), kind+".NAME = { ... }")
	case kind != revisionKind && !filefault.IsIdentifier(s.key[1]):
		p.unidentified = true
		p.fault(s.line, path, "the name "+filefault.Quote(s.key[1]), filefault.IdentifierAllowed)
	default:
		return path, true
	}
	return "", false
}

func (p *parser) revision(s statement) {
	number, ok := s.value.(int64)
	if !ok || number < 1 {
		p.fault(s.line, revisionKind, filefault.Describe(s.value), "a whole number from 1 to "+strconv.FormatInt(math.MaxInt64, 10))
		return
	}
	p.file.Rules.Revision = uint64(number)
}

// decode reads the inline table of one rule.
func (p *parser) decode(s statement, rule string) {
	values, ok := s.value.(map[string]any)
	if !ok {
		p.fault(s.line, rule, filefault.Describe(s.value), "an inline table: { ... }")
	}
	report := func(key, found, allowed string) {
		p.fault(s.line, rule+"."+key, found, allowed)
	}
	if !ok {
		// The rule is still added, so that references to it are valid, but its
		// keys are not reported as missing in addition to the fault above.
		report = func(string, string, string) {}
	}
	table := filefault.NewTable(values, report)
	kinds[s.key[0]].decode(p.file.Rules, s.key[1], table)
	table.ReportUnknownKeys()
}
