package codec

import (
	"crypto/sha256"
	"encoding/hex"
	"reflect"
	"sync"

	"github.com/juju/errors"

	"primrosedale.example/primrosedale/core/message"
)

// packedVersion is the first byte of every packed message. No JSON text starts with it.
const packedVersion = 1

var messageLayout = newLayoutBuilder().layoutOf(reflect.TypeFor[message.Message]())

func newLayoutBuilder() *layoutBuilder {
	return &layoutBuilder{
		built:      make(map[reflect.Type]*layout),
		inProgress: make(map[reflect.Type]bool),
		overrides:  map[reflect.Type]func(*layout){reflect.TypeFor[Entry](): cachePackedEntries},
	}
}

// PackedFormat returns the name of the packed message format. Builds with different message
// types have different names and cannot read each other's packed messages.
var PackedFormat = sync.OnceValue(func() string {
	sum := sha256.Sum256([]byte(messageLayout.description))
	return "packed1-" + hex.EncodeToString(sum[:8])
})

// A Packer packs messages. It caches the packed form of the latest log entries, which are
// sent to every follower. It is safe for concurrent use. The zero Packer is ready for use.
type Packer struct{ entries entryCache }

// AppendMessage appends the packed form of m to dst. It fails for the same messages as
// EncodeMessage and then returns dst unchanged.
func (p *Packer) AppendMessage(dst []byte, m *message.Message) ([]byte, error) {
	if err := checkMessage(m); err != nil {
		return dst, err
	}
	w := writer{data: append(dst, packedVersion), cache: &p.entries}
	messageLayout.write(&w, reflect.ValueOf(encodableMessage(m)).Elem())
	if w.err != nil {
		return dst, w.err
	}
	if size := len(w.data) - len(dst); size > MaxMessageBytes {
		return dst, errors.Annotatef(ErrTooLarge, "packing message: %d bytes, limit %d", size, MaxMessageBytes)
	}
	return w.data, nil
}

// IsPacked reports whether data is a packed message rather than JSON.
func IsPacked(data []byte) bool { return len(data) > 0 && data[0] == packedVersion }

// UnpackMessage decodes a packed message.
func UnpackMessage(data []byte) (*message.Message, error) {
	if len(data) > MaxMessageBytes {
		return nil, errors.Annotatef(ErrTooLarge, "unpacking message: %d bytes, limit %d", len(data), MaxMessageBytes)
	}
	if !IsPacked(data) {
		return nil, invalid("message", "not a packed message")
	}
	m := &message.Message{}
	r := reader{data: data[1:]}
	messageLayout.read(&r, reflect.ValueOf(m).Elem())
	if r.err != nil {
		return nil, r.err
	}
	if len(r.data) > 0 {
		return nil, invalid("message", "data after the value")
	}
	if err := restoreMessage(m); err != nil {
		return nil, err
	}
	return m, nil
}
