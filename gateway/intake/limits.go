// Package intake bounds what clients outside the system's control can make a process hold:
// connections, and the bytes of requests. Ledger decides; Gate applies its decisions to
// listeners and HTTP handlers.
package intake

// Class is a kind of client. The limits of one class do not depend on the use by others, so
// that callers cannot take what operators, workers and other hosts need.
type Class int

// The classes. Each listener belongs to one; Workers share the listener of Operators and
// differ in the bytes of their bodies only.
const (
	Callers Class = iota
	Readiness
	Operators
	Workers
	Metrics
	Peers
	classCount
)

var classNames = [classCount]string{"callers", "readiness", "operators", "workers", "metrics", "peers"}

func (c Class) String() string { return classNames[c] }

// Limits are the bounds of each class.
type Limits struct {
	Connections [classCount]int
	Bytes       [classCount]int64 // held for requests that are read or processed
}

// The defaults of limits that are not known.
const (
	defaultMemory      = 256 << 20 // bytes
	defaultDescriptors = 1024
)

// connectionCost is the memory of an idle connection: the stack of its goroutine and the
// buffers of net/http.
const connectionCost = 16 << 10

// NewLimits derives the limits from the memory of the machine in bytes and the number of
// descriptors that the process may open. Zero stands for the default.
//
// Descriptors: 11 of 64 for other hosts, which with 4,096 descriptors is enough for the 690
// others of a cluster of the design size, since each connects to the leader; a share each for
// readiness checks and the metrics; a reserve for files and outgoing connections; the rest for callers, or for operators and workers on
// hosts that serve these. Memory: an eighth for requests of callers, and one each for those
// of operators and workers, which only other hosts serve; a sixteenth for other hosts; a
// quarter for connections.
func NewLimits(memory int64, descriptors int) Limits {
	if memory <= 0 {
		memory = defaultMemory
	}
	if descriptors <= 0 {
		descriptors = defaultDescriptors
	}
	var l Limits
	l.Connections[Peers] = max(32, descriptors*11/64)
	l.Connections[Readiness] = max(16, descriptors/64)
	l.Connections[Metrics] = max(8, descriptors/64)
	reserve := 64 + descriptors/32
	rest := descriptors - l.Connections[Peers] - l.Connections[Readiness] - l.Connections[Metrics] - reserve
	rest = max(16, min(rest, int(memory/4/connectionCost)))
	l.Connections[Callers], l.Connections[Operators], l.Connections[Workers] = rest, rest, rest
	l.Bytes[Callers], l.Bytes[Operators], l.Bytes[Workers] = memory/8, memory/8, memory/8
	l.Bytes[Peers] = memory / 16
	l.Bytes[Readiness], l.Bytes[Metrics] = memory/64, memory/64
	return l
}
