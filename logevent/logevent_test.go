package logevent

import (
	"bytes"
	"encoding/json"
	"errors"
	"flag"
	"go/ast"
	"go/parser"
	"go/token"
	"go/types"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var update = flag.Bool("update", false, "rewrite docs/log-events.md")

const pagePath = "../docs/log-events.md"

func fixedTime() time.Time { return time.Date(2026, 12, 4, 9, 30, 0, 5e6, time.UTC) }

func newLogger(t *testing.T, format Format, level string, fields ...Field) (Logger, *bytes.Buffer) {
	out := &bytes.Buffer{}
	logger, err := New(Options{Out: out, Format: format, Level: level, Now: fixedTime}, fields...)
	require.NoError(t, err)
	return logger, out
}

// Guards against a page that differs from what the process logs.
func TestPageMatchesCatalogue(t *testing.T) {
	if *update {
		require.NoError(t, os.WriteFile(pagePath, []byte(Markdown()), 0o644))
	}
	text, err := os.ReadFile(pagePath)
	require.NoError(t, err)
	require.Equal(t, Markdown(), string(text), "run: go test ./logevent -update")
}

// Guards against two events of one number or name, and against an event that
// tells an operator nothing.
func TestCatalogueIsUnambiguous(t *testing.T) {
	names := map[string]bool{}
	last := ID(99)
	for _, e := range Catalogue() {
		require.Greater(t, e.ID, last, e.Name)
		last = e.ID
		require.Regexp(t, `^[a-z]+(_[a-z]+)*$`, e.Name)
		require.False(t, names[e.Name], e.Name)
		names[e.Name] = true
		require.NotEmpty(t, e.Message)
		require.NotEmpty(t, e.Action)
	}
	for i, a := range areas {
		for _, e := range a.entries {
			require.Equal(t, i+1, int(e.ID)/100, "area of "+e.Name)
		}
	}
}

// Guards against an identifier of ids.go that has no catalogue entry.
func TestEveryIDHasAnEntry(t *testing.T) {
	source, err := os.ReadFile("ids.go")
	require.NoError(t, err)
	require.Equal(t, strings.Count(string(source), " ID = "), len(Catalogue()))
}

// Guards against a line without its number or with a field of another type.
func TestJSON(t *testing.T) {
	logger, out := newLogger(t, JSON, "info", Self("entry-1"))
	logger.With(Term(7)).Emit(TargetSilent, Host("h"), Team("press"), Queue("q"), Request("r"), Target("t"),
		Index(8), Revision(9), Err(errors.New("gone")), Err(nil), Str(NameReason, "x"), Int(NameCount, -1),
		Dur(NameElapsed, 1500*time.Microsecond))
	require.JSONEq(t, `{"level":"warn","time":"2026-12-04T09:30:00.005Z","id":601,"event":"target_silent",
		"self":"entry-1","term":7,"host":"h","team":"press","queue":"q","request":"r","target":"t","index":8,
		"revision":9,"error":"gone","reason":"x","count":-1,"elapsed_ms":1.5,
		"message":"a target sends no announcements and gets no new work"}`, out.String())
	require.Equal(t, 1, strings.Count(out.String(), "\n"))
}

// Guards against console lines that lack the fields of the JSON lines.
func TestConsole(t *testing.T) {
	logger, out := newLogger(t, Console, "info")
	logger.Emit(LeaderElected, Term(7))
	require.Equal(t, "2026-12-04T09:30:00.005Z INF a leader was elected event=leader_elected id=200 term=7\n", out.String())
}

// Guards against the cost of writing lines below the configured level.
func TestLevel(t *testing.T) {
	logger, out := newLogger(t, JSON, "warn")
	logger.Emit(LeaderElected)
	require.Empty(t, out.String())
	logger.Emit(LeaderLost)
	logger.Emit(SyncFailed)
	require.Equal(t, 2, strings.Count(out.String(), "\n"))
}

// Guards against an event that is lost because its number is unknown.
func TestUnknownID(t *testing.T) {
	logger, out := newLogger(t, JSON, "error")
	logger.Emit(ID(5))
	var line struct {
		ID     int
		Number int
	}
	require.NoError(t, json.Unmarshal(out.Bytes(), &line))
	require.Equal(t, int(UnknownEvent), line.ID)
	require.Equal(t, 5, line.Number)
}

// Guards against a body that reaches the log at full length in an error's text, and
// against a text that ends within a character.
func TestTextIsTruncated(t *testing.T) {
	require.Len(t, truncate(strings.Repeat("a", 1000)), 256)
	require.Equal(t, strings.Repeat("a", 255), truncate(strings.Repeat("a", 255)+"é"))
}

// Guards against two loggers that With derives from one and that overwrite each
// other's fields in a shared array.
func TestWithDoesNotShareFields(t *testing.T) {
	fields := make([]Field, 1, 4) // spare capacity that both could append into
	base, out := newLogger(t, JSON, "info", fields...)
	first, second := base.With(Host("a")), base.With(Host("b"))
	first.Emit(ProcessStarted)
	require.Contains(t, out.String(), `"host":"a"`)
	out.Reset()
	second.Emit(ProcessStarted)
	require.Contains(t, out.String(), `"host":"b"`)
}

// Guards against a misspelt setting that turns logging off.
func TestOptionsAreChecked(t *testing.T) {
	_, err := New(Options{Out: &bytes.Buffer{}, Format: "text", Level: "info"})
	require.ErrorContains(t, err, `log format "text" not valid`)
	_, err = New(Options{Out: &bytes.Buffer{}, Format: JSON, Level: "loud"})
	require.ErrorContains(t, err, `log level "loud" not valid`)
	Logger{}.Emit(ProcessStarted)
}

// Guards against a constructor that lets a key or a body into the log: no
// exported function that makes a Field takes bytes or an arbitrary value.
func TestFieldConstructorsAreTyped(t *testing.T) {
	file, err := parser.ParseFile(token.NewFileSet(), "field.go", nil, 0)
	require.NoError(t, err)
	allowed := map[string]bool{"string": true, "int64": true, "uint64": true, "error": true, "Name": true,
		"model.HostID": true, "model.TeamID": true, "model.QueueID": true, "model.RequestID": true,
		"model.TargetID": true, "time.Duration": true}
	checked := 0
	for _, decl := range file.Decls {
		f, ok := decl.(*ast.FuncDecl)
		if !ok || !f.Name.IsExported() {
			continue
		}
		checked++
		for _, parameter := range f.Type.Params.List {
			require.True(t, allowed[types.ExprString(parameter.Type)], f.Name.Name)
		}
	}
	require.Equal(t, 13, checked)
}

// Guards against callers that fill the disk by causing one event at a high rate, and
// against a count that misses events.
func TestRepeatedEventsAreRateLimited(t *testing.T) {
	var out bytes.Buffer
	now := time.Unix(1000, 0)
	log, err := New(Options{Out: &out, Format: JSON, Level: "info", Now: func() time.Time { return now }})
	require.NoError(t, err)
	var limited RateLimited
	for range 5 {
		limited.Emit(log, KeyRejected)
	}
	require.Equal(t, 1, strings.Count(out.String(), "\n"))
	now = now.Add(time.Second)
	limited.Emit(log, KeyRejected)
	require.Equal(t, 2, strings.Count(out.String(), "\n"))
	require.Contains(t, out.String(), `"count":5`)
}
