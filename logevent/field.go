package logevent

import (
	"time"
	"unicode/utf8"

	"github.com/rs/zerolog"

	"primrosedale.example/primrosedale/core/model"
)

// maxTextBytes bounds the text of one field. Errors of libraries can quote input
// of any length.
const maxTextBytes = 256

// Field is one typed field of a log line. The zero Field writes nothing.
type Field struct {
	apply func(*zerolog.Event)
}

func (f Field) write(line *zerolog.Event) {
	if f.apply != nil {
		f.apply(line)
	}
}

// Name is the name of a general field. Its field is unexported, so that only this
// package can define names, as it does events.
type Name struct{ text string }

// The names of general fields.
var (
	NameAction      = Name{"action"}
	NameAddress     = Name{"address"}
	NameAttempt     = Name{"attempt"}
	NameBytes       = Name{"bytes"}
	NameCluster     = Name{"cluster"}
	NameCommand     = Name{"command"}
	NameCount       = Name{"count"}
	NameDataCentre  = Name{"data_centre"}
	NameElapsed     = Name{"elapsed"}
	NameFile        = Name{"file"}
	NameHash        = Name{"hash"}
	NameImage       = Name{"image"}
	NameIncarnation = Name{"incarnation"}
	NameKeyName     = Name{"key_name"} // the name of a key, never the key
	NameKind        = Name{"kind"}
	NameLeader      = Name{"leader"}
	NameMessage     = Name{"message_type"}
	NameNumber      = Name{"number"}
	NameOffset      = Name{"offset"}
	NamePeer        = Name{"peer"}
	NamePool        = Name{"pool"}
	NameRack        = Name{"rack"}
	NameReason      = Name{"reason"}
	NameRole        = Name{"role"}
	NameService     = Name{"service"}
	NameStatus      = Name{"status"}
	NameTask        = Name{"task"}
	NameVersion     = Name{"version"}
	NameWave        = Name{"wave"}
	NameWorker      = Name{"worker"}
)

// Host is the host that the event is about. The host that writes the line is
// a field of its Logger and is named by Self.
func Host(id model.HostID) Field { return text("host", string(id)) }

// Self is the host that writes the line.
func Self(id model.HostID) Field { return text("self", string(id)) }

// Team is the team that the event is about.
func Team(id model.TeamID) Field { return text("team", string(id)) }

// Queue is the queue that the event is about.
func Queue(id model.QueueID) Field { return text("queue", string(id)) }

// Request is the request that the event is about.
func Request(id model.RequestID) Field { return text("request", string(id)) }

// Target is the target that the event is about.
func Target(id model.TargetID) Field { return text("target", string(id)) }

// Term is a term of the replicated log.
func Term(n uint64) Field { return number("term", n) }

// Index is an index in the replicated log.
func Index(n uint64) Field { return number("index", n) }

// Revision is a revision of the configuration.
func Revision(n uint64) Field { return number("revision", n) }

// Err is the text of an error, truncated to 256 bytes. A nil error writes nothing.
func Err(err error) Field {
	if err == nil {
		return Field{}
	}
	return text("error", err.Error())
}

// Str is a general text field, truncated to 256 bytes.
func Str(name Name, value string) Field { return text(name.text, value) }

// Int is a general number field.
func Int(name Name, value int64) Field {
	return Field{func(e *zerolog.Event) { e.Int64(name.text, value) }}
}

// Dur is a general duration field in milliseconds; its name ends in "_ms".
func Dur(name Name, value time.Duration) Field {
	milliseconds := float64(value) / float64(time.Millisecond)
	return Field{func(e *zerolog.Event) { e.Float64(name.text+"_ms", milliseconds) }}
}

func number(name string, value uint64) Field {
	return Field{func(e *zerolog.Event) { e.Uint64(name, value) }}
}

func text(name, value string) Field {
	value = truncate(value)
	return Field{func(e *zerolog.Event) { e.Str(name, value) }}
}

// truncate shortens s to at most maxTextBytes, at a character boundary.
func truncate(s string) string {
	if len(s) <= maxTextBytes {
		return s
	}
	end := maxTextBytes
	for end > 0 && !utf8.RuneStart(s[end]) {
		end--
	}
	return s[:end]
}
