package recording

import (
	"bytes"
	"encoding/json"

	"github.com/juju/errors"

	"primrosedale.example/primrosedale/codec"
	"primrosedale.example/primrosedale/core/event"
	"primrosedale.example/primrosedale/core/model"
)

// Kind is the name of an event type in a journal.
type Kind string

// The kinds, one for each type of package event.
const (
	KindTick      Kind = "tick"
	KindReceived  Kind = "received"
	KindPersisted Kind = "persisted"
	KindFailed    Kind = "persist_failed"
	KindArrived   Kind = "request_arrived"
	KindAbandoned Kind = "request_abandoned"
	KindEnded     Kind = "forward_ended"
	KindRefused   Kind = "requests_refused"
	KindTarget    Kind = "target_reported"
	KindWorker    Kind = "worker_reported"
	KindCommand   Kind = "command_submitted"
	KindStatus    Kind = "status_requested"
	KindStop      Kind = "stop_requested"
	KindCall      Kind = "call_arrived"
	KindCallGone  Kind = "call_abandoned"
	KindAdvice    Kind = "advice_replied"
	KindBatch     Kind = "batch"
	KindReply     Kind = "worker_replied"
	KindHosts     Kind = "hosts_replied"
	KindSettings  Kind = "settings_changed"
)

// received is the encoded form of event.Received.
type received struct {
	From    model.HostID
	Message json.RawMessage // in the encoding of package codec
}

// encodeEvent returns the kind and the encoded content of an event.
func encodeEvent(e event.Event) (Kind, json.RawMessage, error) {
	switch e := e.(type) {
	case event.Tick:
		return KindTick, nil, nil
	case event.StopRequested:
		return KindStop, nil, nil
	case event.Batch:
		return encodeBatch(e)
	case event.Received:
		m, err := codec.EncodeMessage(&e.Message)
		if err != nil {
			return "", nil, err
		}
		return marshalEvent(KindReceived, received{e.From, m})
	case event.Persisted:
		return marshalEvent(KindPersisted, e)
	case event.PersistFailed:
		return marshalEvent(KindFailed, e)
	case event.RequestArrived:
		return marshalEvent(KindArrived, e)
	case event.RequestAbandoned:
		return marshalEvent(KindAbandoned, e)
	case event.ForwardEnded:
		return marshalEvent(KindEnded, e)
	case event.RequestsRefused:
		return marshalEvent(KindRefused, e)
	case event.TargetReported:
		return marshalEvent(KindTarget, e)
	case event.WorkerReported:
		return marshalEvent(KindWorker, e)
	case event.CommandSubmitted:
		return marshalEvent(KindCommand, e)
	case event.StatusRequested:
		return marshalEvent(KindStatus, e)
	case event.CallArrived:
		return marshalEvent(KindCall, e)
	case event.CallAbandoned:
		return marshalEvent(KindCallGone, e)
	case event.WorkerReplied:
		return marshalEvent(KindReply, e)
	case event.HostsReplied:
		return marshalEvent(KindHosts, e)
	case event.AdviceReplied:
		return marshalEvent(KindAdvice, e)
	case event.SettingsChanged:
		return marshalEvent(KindSettings, e)
	default:
		return "", nil, errors.NotSupportedf("event %T", e)
	}
}

func marshalEvent(k Kind, v any) (Kind, json.RawMessage, error) {
	data, err := json.Marshal(v)
	return k, data, errors.Annotatef(err, "encoding event %s", k)
}

// decodeEvent decodes the event of a recorded input.
func decodeEvent(in *Input) (event.Event, error) {
	switch in.Kind {
	case KindTick:
		return event.Tick{}, nil
	case KindStop:
		return event.StopRequested{}, nil
	case KindBatch:
		return decodeBatch(in)
	case KindReceived:
		return decodeReceived(in)
	case KindPersisted:
		return decodeAs[event.Persisted](in)
	case KindFailed:
		return decodeAs[event.PersistFailed](in)
	case KindArrived:
		return decodeAs[event.RequestArrived](in)
	case KindAbandoned:
		return decodeAs[event.RequestAbandoned](in)
	case KindEnded:
		return decodeAs[event.ForwardEnded](in)
	case KindRefused:
		return decodeAs[event.RequestsRefused](in)
	case KindTarget:
		return decodeAs[event.TargetReported](in)
	case KindWorker:
		return decodeAs[event.WorkerReported](in)
	case KindCommand:
		return decodeAs[event.CommandSubmitted](in)
	case KindStatus:
		return decodeAs[event.StatusRequested](in)
	case KindCall:
		return decodeAs[event.CallArrived](in)
	case KindCallGone:
		return decodeAs[event.CallAbandoned](in)
	case KindReply:
		return decodeAs[event.WorkerReplied](in)
	case KindHosts:
		return decodeAs[event.HostsReplied](in)
	case KindAdvice:
		return decodeAs[event.AdviceReplied](in)
	case KindSettings:
		return decodeAs[event.SettingsChanged](in)
	default:
		return nil, errors.NotSupportedf("event kind %q", in.Kind)
	}
}

// encodedBatchEvent is the encoded form of one event in an event.Batch.
type encodedBatchEvent struct {
	Kind  Kind            `json:"kind"`
	Event json.RawMessage `json:"event,omitempty"`
}

func encodeBatch(b event.Batch) (Kind, json.RawMessage, error) {
	list := make([]encodedBatchEvent, len(b.Events))
	for i, e := range b.Events {
		kind, content, err := encodeEvent(e)
		if err != nil {
			return "", nil, err
		}
		list[i] = encodedBatchEvent{kind, content}
	}
	return marshalEvent(KindBatch, list)
}

func decodeBatch(in *Input) (event.Event, error) {
	var list []encodedBatchEvent
	if err := decodeStrict(in.Event, &list); err != nil {
		return nil, err
	}
	b := event.Batch{Events: make([]event.Event, len(list))}
	for i := range list {
		e, err := decodeEvent(&Input{Kind: list[i].Kind, Event: list[i].Event})
		if err != nil {
			return nil, err
		}
		b.Events[i] = e
	}
	return b, nil
}

func decodeReceived(in *Input) (event.Event, error) {
	var r received
	if err := decodeStrict(in.Event, &r); err != nil {
		return nil, err
	}
	m, err := codec.DecodeMessage(r.Message)
	if err != nil {
		return nil, err
	}
	return event.Received{From: r.From, Message: *m}, nil
}

func decodeAs[E event.Event](in *Input) (event.Event, error) {
	var e E
	err := decodeStrict(in.Event, &e)
	return e, errors.Annotatef(err, "decoding event %s", in.Kind)
}

// decodeStrict decodes one JSON value and rejects unknown fields, because the replay
// would differ if a field were ignored.
func decodeStrict(data []byte, v any) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	return errors.Trace(dec.Decode(v))
}
