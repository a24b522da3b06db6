package intake

import "fmt"

// Shape is the size of a JSON document before it is decoded. The memory that decoding
// takes follows from the number of values, which can be many times the number of bytes.
type Shape struct {
	Values  int // all values, including objects and arrays
	Objects int
	Depth   int
}

// The memory that one decoded value takes at most, including slices that grow by doubling.
const (
	objectCost = 1 << 10 // the largest object that is decoded has 250 bytes
	valueCost  = 48      // a string header in a slice
)

// Cost returns a bound on the memory that decoding takes besides the document.
func (s Shape) Cost() int64 { return int64(s.Objects)*objectCost + int64(s.Values)*valueCost }

// Check returns an error if the shape exceeds the limit in some respect.
func (s Shape) Check(limit Shape) error {
	switch {
	case s.Objects > limit.Objects:
		return fmt.Errorf("more than %d objects", limit.Objects)
	case s.Values > limit.Values:
		return fmt.Errorf("more than %d values", limit.Values)
	case s.Depth > limit.Depth:
		return fmt.Errorf("values nested more than %d deep", limit.Depth)
	}
	return nil
}

// ShapeOf counts the values of a JSON document in one pass and without allocation. For a
// text that is not JSON the result is some number, and decoding fails.
func ShapeOf(data []byte) Shape {
	var s Shape
	depth := 0
	inScalar := false
	for at := 0; at < len(data); at++ {
		b := data[at]
		switch b {
		case '{', '[':
			s.Values++
			if b == '{' {
				s.Objects++
			}
			depth++
			s.Depth = max(s.Depth, depth)
		case '}', ']':
			depth--
		case '"':
			s.Values++
			at = endOfString(data, at)
		case ' ', '\t', '\r', '\n', ',', ':':
		default:
			if !inScalar {
				s.Values++
			}
			inScalar = true
			continue
		}
		inScalar = false
	}
	return s
}

// endOfString returns the index of the quote that ends the string which starts at from, or
// the last index.
func endOfString(data []byte, from int) int {
	for at := from + 1; at < len(data); at++ {
		switch data[at] {
		case '\\':
			at++
		case '"':
			return at
		}
	}
	return len(data) - 1
}
