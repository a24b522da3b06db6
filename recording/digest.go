package recording

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"reflect"

	"github.com/juju/errors"

	"primrosedale.example/primrosedale/codec"
	"primrosedale.example/primrosedale/core"
	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/fleet"
)

// digestBytes is the length to which a SHA-256 is truncated. Digests detect faults;
// they do not protect against someone who can write the journal.
const digestBytes = 16

func digestOf(name string, data []byte) Digest {
	sum := sha256.Sum256(data)
	return Digest(name + " " + hex.EncodeToString(sum[:digestBytes]))
}

// digestEffects returns the digest of each effect, in order.
func digestEffects(effects []effect.Effect) ([]Digest, error) {
	list := make([]Digest, 0, len(effects))
	for _, e := range effects {
		data, err := encodeEffect(e)
		if err != nil {
			return nil, err
		}
		list = append(list, digestOf(effectName(e), data))
	}
	return list, nil
}

func effectName(e effect.Effect) string { return reflect.TypeOf(e).Name() }

// encodedSend and encodedPersist are the encoded forms of effects that can carry a
// snapshot, whose state is encoded by package codec.
type encodedSend struct {
	To      string
	Message json.RawMessage
}

type encodedPersist struct {
	effect.Persist
	Snapshot json.RawMessage
}

// encodeEffect returns the bytes whose digests are compared between a process and its
// replay.
func encodeEffect(e effect.Effect) ([]byte, error) {
	var v any = e
	switch e := e.(type) {
	case effect.Send:
		m, err := codec.EncodeMessage(&e.Message)
		if err != nil {
			return nil, err
		}
		v = encodedSend{string(e.To), m}
	case effect.Persist:
		w := encodedPersist{Persist: e}
		if e.Snapshot != nil {
			data, err := codec.EncodeSnapshot(e.Snapshot)
			if err != nil {
				return nil, err
			}
			w.Snapshot = data
		}
		v = w
	}
	data, err := json.Marshal(v)
	return data, errors.Annotatef(err, "encoding effect %s", effectName(e))
}

// digestState returns the digests of the whole state.
func digestState(i core.Inspection) (*State, error) {
	data, err := encodeFleet(i.Fleet)
	if err != nil {
		return nil, err
	}
	status, err := json.Marshal(i.Status)
	if err != nil {
		return nil, errors.Annotate(err, "encoding a status")
	}
	return &State{Fleet: digestOf("fleet", data), Status: digestOf("status", status)}, nil
}

func encodeFleet(s *fleet.State) ([]byte, error) {
	return codec.EncodeSnapshot(&codec.Snapshot{State: s})
}
