package codec

import (
	"fmt"
	"math/bits"
	"reflect"
	"strings"
)

// field is a field of a struct, or of a struct within it.
type field struct {
	*layout
	name  string
	in    int // index in structFields.within
	index int
}

// structFields is the fields of a struct and of the structs within it.
type structFields struct {
	fields []field
	within []within // the first is the struct itself
}

// within is a struct that is a field of another.
type within struct {
	in    int // index in structFields.within
	index int
}

// usualWithin is the number of structs for which values needs no memory.
const usualWithin = 8

// values appends the struct v and those within it.
func (s *structFields) values(to []reflect.Value, v reflect.Value) []reflect.Value {
	to = append(to, v)
	for _, w := range s.within[1:] {
		to = append(to, to[w.in].Field(w.index))
	}
	return to
}

// add adds the fields of t that JSON would have. The last of within is of type t.
func (f *structFields) add(s *layouts, t reflect.Type, prefix string) {
	in := len(f.within) - 1
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
			f.within = append(f.within, within{in: in, index: i})
			f.add(s, sf.Type, prefix+name+".")
			continue
		}
		f.fields = append(f.fields, field{layout: s.of(sf.Type), name: prefix + name, in: in, index: i})
	}
}

func structLayout(s *layouts, t reflect.Type) *layout {
	all := structFields{within: []within{{}}}
	all.add(s, t, "")
	var names strings.Builder
	for _, f := range all.fields {
		fmt.Fprintf(&names, "%s %s;", f.name, f.description)
	}
	mask := make([]byte, max(1, (len(all.fields)+7)/8))
	return &layout{
		description: "{" + names.String() + "}",
		write: func(w *writer, v reflect.Value) {
			var usual [usualWithin]reflect.Value
			structs := all.values(usual[:0], v)
			start := len(w.data)
			w.data = append(w.data, mask...)
			for i := range all.fields {
				f := &all.fields[i]
				if value := structs[f.in].Field(f.index); !f.zero(value) {
					w.data[start+i/8] |= 1 << (i % 8)
					f.writeSet(w, value)
				}
			}
		},
		read: func(r *reader, v reflect.Value) {
			var usual [usualWithin]reflect.Value
			structs := all.values(usual[:0], v)
			for i, set := range r.take(len(mask)) {
				for ; set != 0 && r.err == nil; set &= set - 1 {
					n := 8*i + bits.TrailingZeros8(set)
					if n >= len(all.fields) {
						r.fail("unknown field")
						return
					}
					f := &all.fields[n]
					f.readSet(r, structs[f.in].Field(f.index))
				}
			}
		},
	}
}
