package rulesfile

import (
	"bytes"
	"errors"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"

	"primrosedale.example/primrosedale/rulesfile/filefault"
)

// maxJoinedLines bounds how many lines are joined to detect a rule that is spread over
// several lines. Together with chunk.incomplete it keeps the time to parse a faulty
// file linear in its length.
const maxJoinedLines = 16

// statement is one `key = value` of the file.
type statement struct {
	line    int // first line, counted from 1
	lines   int // number of lines it is spread over
	key     []string
	value   any // as decoded by go-toml
	comment string
}

// scan splits the text into statements. Each line is parsed by itself, so
// that a syntax error in one line does not hide the faults of those after it.
func scan(text []byte, p *parser) {
	lines := bytes.SplitAfter(text, []byte("\n"))
	for i := 0; i < len(lines); {
		i += scanAt(lines, i, p)
	}
}

// scanAt parses the statement that starts at line index i and returns its number of
// lines.
func scanAt(lines [][]byte, i int, p *parser) int {
	line := i + 1
	first := parseChunk(&p.tree, lines[i])
	joined := first
	for n := 1; ; n++ {
		if joined.err == nil {
			handleChunk(joined, line, n, p)
			return n
		}
		if !joined.incomplete || n == maxJoinedLines || i+n == len(lines) {
			break
		}
		joined = parseChunk(&p.tree, bytes.Join(lines[i:i+n+1], nil))
	}
	p.syntax(line, describeSyntaxError(first.err), "one line of TOML: KIND.NAME = { ... }  # NAME")
	return 1
}

func describeSyntaxError(err error) string {
	return "text that is not TOML (" + strings.TrimPrefix(err.Error(), "toml: ") + ")"
}

// chunk is the parsed content of one line or of several joined lines.
type chunk struct {
	header  string // of a [table] or [[list]], empty otherwise
	key     []string
	value   any
	comment string
	err     error
	// incomplete is set if the error is at the end of the text, so that
	// further lines can complete the statement.
	incomplete bool
}

func handleChunk(c chunk, line, lines int, p *parser) {
	switch {
	case c.header != "":
		p.inTable = true
		p.unidentified = true
		p.fault(line, c.header, "a table header", "one line for each rule: KIND.NAME = { ... }  # NAME")
	case c.key != nil:
		p.rule(statement{line, lines, c.key, c.value, c.comment})
	}
}

// errSeveralStatements is the error of joined lines that hold more than one statement.
// Each of them must be parsed by itself.
var errSeveralStatements = errors.New("several statements")

func parseChunk(tree *unstable.Parser, text []byte) chunk {
	var c chunk
	// The parser requires that no capacity is left after its input.
	text = slices.Clip(bytes.Clone(text))
	tree.KeepComments = true
	tree.Reset(text)
	for count := 0; tree.NextExpression(); {
		node := tree.Expression()
		if node.Kind == unstable.Comment {
			continue
		}
		if count++; count > 1 {
			return chunk{err: errSeveralStatements}
		}
		c.readNode(node)
	}
	if err := tree.Error(); err != nil {
		return chunk{err: err, incomplete: errorAtEnd(text, err)}
	}
	if c.key != nil {
		c.value, c.err = decodeValue(text, c.key)
	}
	return c
}

// errorAtEnd reports whether the parser reached the end of the text within a statement.
// The position of its error is a subslice of the text, so the capacities give the
// offset.
func errorAtEnd(text []byte, err error) bool {
	var position *unstable.ParserError
	if !errors.As(err, &position) {
		return false
	}
	offset := cap(text) - cap(position.Highlight)
	return offset+len(position.Highlight) >= len(text)
}

// readNode reads key and comment from the syntax tree; decodeValue reads the value.
func (c *chunk) readNode(node *unstable.Node) {
	var key []string
	for it := node.Key(); it.Next(); {
		if it.Node().Kind == unstable.Key {
			key = append(key, string(it.Node().Data))
		}
	}
	if node.Kind == unstable.KeyValue {
		c.key = key
	} else {
		c.header = joinKey(key)
	}
	if next := node.Next(); next.Valid() && next.Kind == unstable.Comment {
		c.comment = strings.TrimSpace(strings.TrimPrefix(string(next.Data), "#"))
	}
}

// decodeValue returns the value of the only statement of text, whose key is
// given. It also finds faults that the tree does not show, such as a
// repeated key in an inline table.
func decodeValue(text []byte, key []string) (any, error) {
	var root map[string]any
	if err := toml.Unmarshal(text, &root); err != nil {
		return nil, err
	}
	var value any = root
	for _, part := range key {
		value = value.(map[string]any)[part]
	}
	return value, nil
}

// joinKey returns a dotted key for messages. Parts that are not identifiers
// are quoted.
func joinKey(key []string) string {
	parts := make([]string, len(key))
	for i, part := range key {
		parts[i] = part
		if !filefault.IsIdentifier(part) {
			parts[i] = filefault.Quote(part)
		}
	}
	return strings.Join(parts, ".")
}
