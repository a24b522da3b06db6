package codec

import (
	"encoding/binary"
	"math"
	"unicode/utf8"
)

// writer builds a packed value. After an error data is undefined.
type writer struct {
	data  []byte
	err   error
	cache *entryCache // nil disables caching
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
	w.data = binary.LittleEndian.AppendUint64(w.data, math.Float64bits(f+0)) // f+0 turns -0 into 0
}

// string writes s with invalid UTF-8 replaced as JSON would replace it, so that a receiver
// decodes the same value from either encoding.
func (w *writer) string(s string) {
	if !utf8.ValidString(s) {
		s = string([]rune(s))
	}
	w.uint(uint64(len(s)))
	w.data = append(w.data, s...)
}

// reader decodes a packed value. After an error its methods return zero values.
type reader struct {
	data []byte // remaining input
	err  error
}

func (r *reader) fail(detail string) {
	if r.err == nil {
		r.err = invalid("message", detail)
	}
	r.data = nil
}

// take consumes and returns the next n bytes. It returns nil if fewer remain.
func (r *reader) take(n int) []byte {
	if n > len(r.data) {
		r.fail("unexpected end of the value")
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

// length reads the number of bytes or elements that follow. Every element takes at least
// one byte, so a length over the remaining input is an error.
func (r *reader) length() int {
	n := r.uint()
	if n > uint64(len(r.data)) {
		r.fail("unexpected end of the value")
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
