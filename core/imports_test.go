package core_test

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// forbidden are the packages that decision packages must not import: network, files,
// clocks, random numbers and encodings.
var forbidden = []string{"net", "os", "io", "time", "math/rand", "crypto", "encoding", "syscall", "log", "github.com/rs", "github.com/sourcegraph", "github.com/pelletier", "golang.org/x"}

// Guards against a decision package that reads a clock, a file, the network or an
// encoding: its decisions could no longer be replayed from events alone.
func TestDecisionPackagesImportNoInputOutput(t *testing.T) {
	files := 0
	err := filepath.WalkDir(".", func(path string, d fs.DirEntry, err error) error {
		require.NoError(t, err)
		if d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		files++
		checkImports(t, path)
		return nil
	})
	require.NoError(t, err)
	require.Greater(t, files, 20, "too few files were found for the check to be meaningful")
}

func checkImports(t *testing.T, path string) {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
	require.NoError(t, err)
	for _, spec := range file.Imports {
		imported, err := strconv.Unquote(spec.Path.Value)
		require.NoError(t, err)
		for _, f := range forbidden {
			if imported == f || strings.HasPrefix(imported, f+"/") {
				t.Errorf("%s imports %s", path, imported)
			}
		}
		inside := "primrosedale.example/primrosedale/"
		if rest, ok := strings.CutPrefix(imported, inside); ok && rest != "core" && !strings.HasPrefix(rest, "core/") {
			t.Errorf("%s imports %s, which is not a decision package", path, imported)
		}
	}
}
