// Package logevent is the closed catalogue of what the system logs. Every
// line is one numbered event with a fixed message and typed fields. There is
// no way to log an arbitrary value or bytes, so that keys and request bodies
// stay out of the logs. docs/log-events.md lists the catalogue.
package logevent

import (
	"io"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"
)

// Format is how log lines are written.
type Format string

// The formats.
const (
	JSON    Format = "json"    // one JSON object a line
	Console Format = "console" // text for people, without colours
)

// Options configures a Logger.
type Options struct {
	Out    io.Writer // must be safe for concurrent use
	Format Format
	Level  string           // lowest level logged: debug, info, warn or error
	Now    func() time.Time // time of the lines; nil is time.Now
}

// Logger writes events. It is safe for concurrent use if its writer is. The zero Logger
// writes nothing.
type Logger struct {
	out    zerolog.Logger
	now    func() time.Time
	fields []Field
}

// New returns a Logger whose lines all carry the fields. It returns an error
// for an unknown format or level.
func New(o Options, fields ...Field) (Logger, error) {
	level, err := parseLevel(o.Level)
	if err != nil {
		return Logger{}, err
	}
	out := o.Out
	switch o.Format {
	case JSON:
	case Console:
		out = zerolog.ConsoleWriter{Out: o.Out, NoColor: true, TimeFormat: time.RFC3339Nano, TimeLocation: time.UTC}
	default:
		return Logger{}, errors.NotValidf("log format %q", o.Format)
	}
	now := o.Now
	if now == nil {
		now = time.Now
	}
	return Logger{out: zerolog.New(out).Level(level), now: now, fields: fields}, nil
}

func parseLevel(name string) (zerolog.Level, error) {
	for _, level := range []zerolog.Level{zerolog.DebugLevel, zerolog.InfoLevel, zerolog.WarnLevel, zerolog.ErrorLevel} {
		if level.String() == name {
			return level, nil
		}
	}
	return zerolog.NoLevel, errors.NotValidf("log level %q", name)
}

// With returns a Logger that adds the fields to every line.
func (l Logger) With(fields ...Field) Logger {
	all := make([]Field, 0, len(l.fields)+len(fields))
	all = append(all, l.fields...)
	l.fields = append(all, fields...)
	return l
}

// Emit writes the event. An id without an entry in the catalogue is written
// as UnknownEvent with its number, so that no event is lost.
func (l Logger) Emit(id ID, fields ...Field) {
	if l.now == nil {
		return
	}
	entry, ok := Lookup(id)
	if !ok {
		entry = catalogue[UnknownEvent]
		fields = append([]Field{Int(NameNumber, int64(id))}, fields...)
	}
	// zerolog would drop the line as well, but only after its time was formatted.
	if entry.Level < l.out.GetLevel() {
		return
	}
	line := l.out.WithLevel(entry.Level)
	line.Str("time", l.now().UTC().Format(time.RFC3339Nano))
	line.Int("id", int(entry.ID)).Str("event", entry.Name)
	for _, f := range l.fields {
		f.write(line)
	}
	for _, f := range fields {
		f.write(line)
	}
	line.Msg(entry.Message)
}
