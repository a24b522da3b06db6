package codec

import (
	"cmp"
	"encoding"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// A layout describes how the values of one type are packed. The packed form has no field
// tags, so both sides must use the same layout; layouts that differ have different
// descriptions.
//
//   - Integers are variable-length (varint), signed ones zigzag-encoded; floats are 8 bytes.
//   - A string, slice or map is its length followed by its elements. Map entries are sorted
//     by key.
//   - A pointer is a byte, 0 for nil, followed by the value that it points to.
//   - A struct is a bit mask of its non-zero fields, of at least one byte, followed by these
//     fields. The fields of nested structs are part of the outer struct's mask. The bit of a
//     bool is its value, and the bit of a pointer replaces its byte.
//
// Every value has exactly one packed form; readers reject any other.
type layout struct {
	typ         reflect.Type
	description string
	isZero      func(v reflect.Value) bool // nil for structs
	write       func(w *writer, v reflect.Value)
	read        func(r *reader, v reflect.Value) // v is settable and zero
	// writeNonZero and readNonZero encode and decode a struct field whose mask bit is set,
	// so that its value is known not to be zero.
	writeNonZero func(w *writer, v reflect.Value)
	readNonZero  func(r *reader, v reflect.Value)
}

// layoutBuilder builds one layout for each type.
type layoutBuilder struct {
	built      map[reflect.Type]*layout
	inProgress map[reflect.Type]bool // layouts being built, to detect recursive types
	// overrides changes the functions in the layouts of types with a special encoding.
	overrides map[reflect.Type]func(l *layout)
}

// layoutOf returns the layout of t. It panics for unsupported types: interfaces, arrays,
// recursive types, and types with their own JSON or text encoding.
func (b *layoutBuilder) layoutOf(t reflect.Type) *layout {
	if l := b.built[t]; l != nil {
		return l
	}
	if b.inProgress[t] || encodesItself(t) {
		panic(fmt.Sprintf("codec: no layout for type %s", t))
	}
	b.inProgress[t] = true
	l := b.make(t)
	delete(b.inProgress, t)
	l.typ = t
	if l.writeNonZero == nil {
		l.writeNonZero = l.write
	}
	if l.readNonZero == nil {
		l.readNonZero = func(r *reader, v reflect.Value) {
			l.read(r, v)
			if r.err == nil && l.isZero(v) {
				r.fail("a field is zero")
			}
		}
	}
	if override := b.overrides[t]; override != nil {
		override(l)
	}
	b.built[t] = l
	return l
}

func encodesItself(t reflect.Type) bool {
	for _, i := range []reflect.Type{reflect.TypeFor[json.Marshaler](), reflect.TypeFor[encoding.TextMarshaler]()} {
		if t.Implements(i) || reflect.PointerTo(t).Implements(i) {
			return true
		}
	}
	return false
}

func (b *layoutBuilder) make(t reflect.Type) *layout {
	switch t.Kind() {
	case reflect.Bool:
		return boolLayout()
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		return intLayout(t)
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return uintLayout(t)
	case reflect.Float64:
		return floatLayout()
	case reflect.String:
		return stringLayout()
	case reflect.Pointer:
		return pointerLayout(b.layoutOf(t.Elem()))
	case reflect.Slice:
		if t.Elem().Kind() == reflect.Uint8 {
			return bytesLayout()
		}
		return sliceLayout(t, b.layoutOf(t.Elem()))
	case reflect.Map:
		return mapLayout(t, b.layoutOf(t.Key()), b.layoutOf(t.Elem()))
	case reflect.Struct:
		return structLayout(b, t)
	}
	panic(fmt.Sprintf("codec: no layout for kind %s", t.Kind()))
}

func boolLayout() *layout {
	return &layout{
		description:  "bool",
		isZero:       func(v reflect.Value) bool { return !v.Bool() },
		write:        func(w *writer, v reflect.Value) { w.flag(v.Bool()) },
		read:         func(r *reader, v reflect.Value) { v.SetBool(r.flag()) },
		writeNonZero: func(*writer, reflect.Value) {},
		readNonZero:  func(_ *reader, v reflect.Value) { v.SetBool(true) },
	}
}

func intLayout(t reflect.Type) *layout {
	return &layout{
		description: t.Kind().String(),
		isZero:      func(v reflect.Value) bool { return v.Int() == 0 },
		write:       func(w *writer, v reflect.Value) { w.int(v.Int()) },
		read: func(r *reader, v reflect.Value) {
			n := r.int()
			if v.OverflowInt(n) {
				r.fail("an integer is out of range")
			}
			v.SetInt(n)
		},
	}
}

func uintLayout(t reflect.Type) *layout {
	return &layout{
		description: t.Kind().String(),
		isZero:      func(v reflect.Value) bool { return v.Uint() == 0 },
		write:       func(w *writer, v reflect.Value) { w.uint(v.Uint()) },
		read: func(r *reader, v reflect.Value) {
			n := r.uint()
			if v.OverflowUint(n) {
				r.fail("an integer is out of range")
			}
			v.SetUint(n)
		},
	}
}

func floatLayout() *layout {
	return &layout{
		description: "float",
		isZero:      func(v reflect.Value) bool { return v.Float() == 0 },
		write:       func(w *writer, v reflect.Value) { w.float(v.Float()) },
		read:        func(r *reader, v reflect.Value) { v.SetFloat(r.float()) },
	}
}

func stringLayout() *layout {
	return &layout{
		description: "string",
		isZero:      func(v reflect.Value) bool { return v.Len() == 0 },
		write:       func(w *writer, v reflect.Value) { w.string(v.String()) },
		read:        func(r *reader, v reflect.Value) { v.SetString(r.string()) },
	}
}

func bytesLayout() *layout {
	return &layout{
		description: "bytes",
		isZero:      func(v reflect.Value) bool { return v.Len() == 0 },
		write: func(w *writer, v reflect.Value) {
			w.uint(uint64(v.Len()))
			w.data = append(w.data, v.Bytes()...)
		},
		read: func(r *reader, v reflect.Value) {
			if data := r.bytes(); len(data) > 0 {
				v.SetBytes(slices.Clone(data))
			}
		},
	}
}

func pointerLayout(elem *layout) *layout {
	l := &layout{
		description:  "*" + elem.description,
		isZero:       func(v reflect.Value) bool { return v.IsNil() },
		writeNonZero: func(w *writer, v reflect.Value) { elem.write(w, v.Elem()) },
		readNonZero: func(r *reader, v reflect.Value) {
			p := reflect.New(elem.typ)
			elem.read(r, p.Elem())
			v.Set(p)
		},
	}
	l.write = func(w *writer, v reflect.Value) {
		w.flag(!v.IsNil())
		if !v.IsNil() {
			l.writeNonZero(w, v)
		}
	}
	l.read = func(r *reader, v reflect.Value) {
		if r.flag() {
			l.readNonZero(r, v)
		}
	}
	return l
}

// maxPreallocated is the most elements for which memory is allocated before they are read,
// so that a false length cannot allocate more.
const maxPreallocated = 256

func sliceLayout(t reflect.Type, elem *layout) *layout {
	return &layout{
		description: "[]" + elem.description,
		isZero:      func(v reflect.Value) bool { return v.Len() == 0 },
		write: func(w *writer, v reflect.Value) {
			n := v.Len()
			w.uint(uint64(n))
			for i := range n {
				elem.write(w, v.Index(i))
			}
		},
		read: func(r *reader, v reflect.Value) {
			n := r.length()
			if n == 0 {
				return
			}
			size := min(n, maxPreallocated)
			v.Set(reflect.MakeSlice(t, size, size))
			for i := 0; i < n && r.err == nil; i++ {
				if i == v.Len() {
					v.Grow(1)
					v.SetLen(min(n, v.Cap()))
				}
				elem.read(r, v.Index(i))
			}
		},
	}
}

func mapLayout(t reflect.Type, key, elem *layout) *layout {
	compare := compareKeys(t.Key())
	return &layout{
		description: "map[" + key.description + "]" + elem.description,
		isZero:      func(v reflect.Value) bool { return v.Len() == 0 },
		write: func(w *writer, v reflect.Value) {
			keys := v.MapKeys()
			slices.SortFunc(keys, compare)
			w.uint(uint64(len(keys)))
			for _, k := range keys {
				key.write(w, k)
				elem.write(w, v.MapIndex(k))
			}
		},
		read: func(r *reader, v reflect.Value) {
			n := r.length()
			if n == 0 {
				return
			}
			m := reflect.MakeMapWithSize(t, min(n, maxPreallocated))
			var last reflect.Value
			for i := 0; i < n && r.err == nil; i++ {
				k, e := reflect.New(t.Key()).Elem(), reflect.New(t.Elem()).Elem()
				key.read(r, k)
				elem.read(r, e)
				if i > 0 && compare(last, k) >= 0 {
					r.fail("the keys of a map are not in ascending order")
				}
				m.SetMapIndex(k, e)
				last = k
			}
			v.Set(m)
		},
	}
}

func compareKeys(t reflect.Type) func(a, b reflect.Value) int {
	switch t.Kind() {
	case reflect.String:
		return func(a, b reflect.Value) int { return strings.Compare(a.String(), b.String()) }
	case reflect.Uint64:
		return func(a, b reflect.Value) int { return cmp.Compare(a.Uint(), b.Uint()) }
	}
	panic(fmt.Sprintf("codec: no order of keys of type %s", t))
}
