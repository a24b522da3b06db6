package codec

import (
	"encoding/binary"
	"math"
	"unicode/utf8"
)

// writer collects a packed value. After an error its content has no meaning.
type writer struct {
	data  []byte
	err   error
	cache *entryCache // nil for none
}

func (w *writer) flag(set bool) {
	if set {
		w.data = append(w.data, 1)
	} else {
		w.data = append(w.data, 0)
	}
}

func (w *writer) uint(n uint64) { w.data = binary.AppendUvarint(w.data, n) }
func (w *writer) int(n int64)   { w.data = binary.AppendVarint(w.data, n) }

func (w *writer) float(f float64) {
	if math.IsNaN(f) || math.IsInf(f, 0) {
		w.err = invalid("message", "a number is not finite")
	}
	w.data = binary.LittleEndian.AppendUint64(w.data, math.Float64bits(f+0)) // no negative zero
}

// string writes s as JSON would carry it, so that a process has the same value
// whatever the encoding of its connection.
func (w *writer) string(s string) {
	if !utf8.ValidString(s) {
		s = string([]rune(s))
	}
	w.uint(uint64(len(s)))
	w.data = append(w.data, s...)
}

// reader reads a packed value. After an error it returns zero values.
type reader struct {
	data []byte // what is not read yet
	err  error
}

func (r *reader) fail(detail string) {
	if r.err == nil {
		r.err = invalid("message", detail)
	}
	r.data = nil
}

// take returns the next n bytes, or nil.
func (r *reader) take(n int) []byte {
	if n > len(r.data) {
		r.fail("the value is cut off")
		return nil
	}
	data := r.data[:n:n]
	r.data = r.data[n:]
	return data
}

func (r *reader) flag() bool {
	b := r.take(1)
	if b == nil {
		return false
	}
	if b[0] > 1 {
		r.fail("a flag is neither 0 nor 1")
	}
	return b[0] == 1
}

func (r *reader) uint() uint64 {
	n, size := binary.Uvarint(r.data)
	if size <= 0 || size > 1 && r.data[size-1] == 0 {
		r.fail("not an integer in its shortest form")
		return 0
	}
	r.data = r.data[size:]
	return n
}

func (r *reader) int() int64 {
	n := r.uint()
	return int64(n>>1) ^ -int64(n&1)
}

func (r *reader) float() float64 {
	b := r.take(8)
	if b == nil {
		return 0
	}
	f := math.Float64frombits(binary.LittleEndian.Uint64(b))
	if math.IsNaN(f) || math.IsInf(f, 0) || f == 0 && math.Signbit(f) {
		r.fail("a number is not finite, or a negative zero")
	}
	return f
}

// length reads the number of bytes or elements that follow. An element takes a
// byte at least.
func (r *reader) length() int {
	n := r.uint()
	if n > uint64(len(r.data)) {
		r.fail("the value is cut off")
		return 0
	}
	return int(n)
}

func (r *reader) bytes() []byte { return r.take(r.length()) }

func (r *reader) string() string {
	b := r.bytes()
	if !utf8.Valid(b) {
		r.fail("a string is not valid UTF-8")
		return ""
	}
	return string(b)
}
