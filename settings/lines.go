package settings

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// lineIndex maps a key, such as "listen.peers" or "peer[0].host", to the line
// it is written on, and a table's name to the line of its header.
type lineIndex map[string]int

// lineOf returns the line of key, or of the innermost table around it if key has none,
// or 1 if there is no such table.
func (x lineIndex) lineOf(key string) int {
	for key != "" {
		if line, ok := x[key]; ok {
			return line
		}
		key = key[:max(0, strings.LastIndexAny(key, ".["))]
	}
	return 1
}

// indexLines indexes the keys of a valid TOML text.
func indexLines(text []byte) lineIndex {
	index := lineIndex{}
	counts := map[string]int{}
	text = bytes.Clone(text)
	tree := unstable.Parser{}
	tree.Reset(text[:len(text):len(text)])
	prefix := ""
	for tree.NextExpression() {
		node := tree.Expression()
		path, line := keyOf(&tree, node)
		switch node.Kind {
		case unstable.Table:
			prefix = path + "."
			index.add(path, line)
		case unstable.ArrayTable:
			index.add(path, line)
			element := fmt.Sprintf("%s[%d]", path, counts[path])
			counts[path]++
			prefix = element + "."
			index.add(element, line)
		case unstable.KeyValue:
			index.add(prefix+path, line)
		}
	}
	return index
}

func (x lineIndex) add(key string, line int) {
	if _, ok := x[key]; !ok {
		x[key] = line
	}
}

// keyOf returns the dotted key of an expression and its line.
func keyOf(tree *unstable.Parser, node *unstable.Node) (string, int) {
	var parts []string
	line := 1
	for it := node.Key(); it.Next(); {
		key := it.Node()
		if key.Kind != unstable.Key {
			continue
		}
		if len(parts) == 0 {
			line = tree.Shape(key.Raw).Start.Line
		}
		parts = append(parts, string(key.Data))
	}
	return strings.Join(parts, "."), line
}
