package daemon

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/logevent"
)

// emittedNames holds the log events and codes that the code of the repository emits,
// by the name of their constant.
type emittedNames struct {
	events map[string]bool // logevent.NAME, as an argument of a call of Emit
	codes  map[string]bool // effect.NAME, in core
}

// findEmissions parses every file of the repository except tests.
func findEmissions(t *testing.T) emittedNames {
	found := emittedNames{map[string]bool{}, map[string]bool{}}
	err := filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		inCore := strings.HasPrefix(path, filepath.Join("..", "core")+string(filepath.Separator))
		ast.Inspect(file, func(n ast.Node) bool {
			if name, ok := selected(n, "effect"); ok && inCore {
				found.codes[name] = true
			}
			if call, ok := n.(*ast.CallExpr); ok && strings.HasSuffix(calledName(call), "Emit") {
				for _, argument := range call.Args {
					if name, ok := selected(argument, "logevent"); ok {
						found.events[name] = true
					}
				}
			}
			return true
		})
		return nil
	})
	require.NoError(t, err)
	return found
}

func selected(n ast.Node, pkg string) (string, bool) {
	s, ok := n.(*ast.SelectorExpr)
	if !ok {
		return "", false
	}
	x, ok := s.X.(*ast.Ident)
	return s.Sel.Name, ok && x.Name == pkg
}

func calledName(call *ast.CallExpr) string {
	if s, ok := call.Fun.(*ast.SelectorExpr); ok {
		return s.Sel.Name
	}
	return ""
}

// constants returns the values of the constants of a type in a file, by name.
func constants(t *testing.T, path, kind string) map[string]string {
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
	require.NoError(t, err)
	values := map[string]string{}
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok || len(spec.Values) != 1 {
			return true
		}
		if typed, ok := spec.Type.(*ast.Ident); ok && typed.Name == kind {
			values[spec.Names[0].Name] = strings.Trim(spec.Values[0].(*ast.BasicLit).Value, `"`)
		}
		return true
	})
	require.NotEmpty(t, values)
	return values
}

// Guards against an event in the operators' catalogue that nothing emits, and against
// a log code of the reducer without an event number.
func TestEveryEventIsEmitted(t *testing.T) {
	found := findEmissions(t)
	emitted := map[string]bool{"unknown_event": true} // by name; the logger itself emits this one
	codes := constants(t, filepath.Join("..", "core", "effect", "effect.go"), "Code")
	for name, code := range codes {
		id, ok := logEventIDs[effect.Code(code)]
		require.True(t, ok, "code %s has no event", name)
		entry, ok := logevent.Lookup(id)
		require.True(t, ok, name)
		require.True(t, found.codes[name], "nothing in core emits effect.%s", name)
		emitted[entry.Name] = true
	}
	require.Len(t, logEventIDs, len(codes))
	ids := constants(t, filepath.Join("..", "logevent", "ids.go"), "ID")
	require.Len(t, logevent.Catalogue(), len(ids))
	names := map[string]string{} // of the constants, by number
	for name, number := range ids {
		names[number] = name
	}
	for _, entry := range logevent.Catalogue() {
		name := names[strconv.Itoa(int(entry.ID))]
		require.True(t, emitted[entry.Name] || found.events[name], "nothing emits %d %s", entry.ID, entry.Name)
	}
}
