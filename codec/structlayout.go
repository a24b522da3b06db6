package codec

import (
	"fmt"
	"math/bits"
	"reflect"
	"strings"
)

// field is a field of a struct or of a struct nested in it.
type field struct {
	*layout
	name   string
	parent int // index in structFields.structs
	index  int // of the field in its parent
}

// structFields lists the fields of a struct and of the structs nested in it.
type structFields struct {
	fields  []field
	structs []nestedStruct // the first is the struct itself
}

// nestedStruct is a struct that is a field of another.
type nestedStruct struct {
	parent int // index in structFields.structs
	index  int // of the field in its parent
}

// inlineStructs is the number of structs for which appendValues needs no heap allocation.
const inlineStructs = 8

// appendValues appends v and the structs nested in it to dst, in the order of s.structs.
func (s *structFields) appendValues(dst []reflect.Value, v reflect.Value) []reflect.Value {
	dst = append(dst, v)
	for _, n := range s.structs[1:] {
		dst = append(dst, dst[n.parent].Field(n.index))
	}
	return dst
}

// add adds the fields of t that encoding/json would encode. t is the type of the last
// element of f.structs.
func (f *structFields) add(b *layoutBuilder, t reflect.Type, prefix string) {
	parent := len(f.structs) - 1
	for i := range t.NumField() {
		sf := t.Field(i)
		name, _, _ := strings.Cut(sf.Tag.Get("json"), ",")
		if name == "-" || !sf.IsExported() {
			continue
		}
		if name == "" {
			name = sf.Name
		}
		if sf.Type.Kind() == reflect.Struct && !encodesItself(sf.Type) {
			f.structs = append(f.structs, nestedStruct{parent: parent, index: i})
			f.add(b, sf.Type, prefix+name+".")
			continue
		}
		f.fields = append(f.fields, field{layout: b.layoutOf(sf.Type), name: prefix + name, parent: parent, index: i})
	}
}

func structLayout(b *layoutBuilder, t reflect.Type) *layout {
	flat := structFields{structs: []nestedStruct{{}}}
	flat.add(b, t, "")
	var names strings.Builder
	for _, f := range flat.fields {
		fmt.Fprintf(&names, "%s %s;", f.name, f.description)
	}
	zeroMask := make([]byte, max(1, (len(flat.fields)+7)/8))
	return &layout{
		description: "{" + names.String() + "}",
		write: func(w *writer, v reflect.Value) {
			var inline [inlineStructs]reflect.Value
			structs := flat.appendValues(inline[:0], v)
			start := len(w.data)
			w.data = append(w.data, zeroMask...)
			for i := range flat.fields {
				f := &flat.fields[i]
				if value := structs[f.parent].Field(f.index); !f.isZero(value) {
					w.data[start+i/8] |= 1 << (i % 8)
					f.writeNonZero(w, value)
				}
			}
		},
		read: func(r *reader, v reflect.Value) {
			var inline [inlineStructs]reflect.Value
			structs := flat.appendValues(inline[:0], v)
			for i, set := range r.take(len(zeroMask)) {
				for ; set != 0 && r.err == nil; set &= set - 1 {
					n := 8*i + bits.TrailingZeros8(set)
					if n >= len(flat.fields) {
						r.fail("unknown field")
						return
					}
					f := &flat.fields[n]
					f.readNonZero(r, structs[f.parent].Field(f.index))
				}
			}
		},
	}
}
