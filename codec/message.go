package codec

import "primrosedale.example/primrosedale/core/message"

// EncodeMessage returns the JSON encoding of m. It fails unless exactly one kind is set in
// m and the encoding is at most MaxMessageBytes long.
func EncodeMessage(m *message.Message) ([]byte, error) {
	if err := checkMessage(m); err != nil {
		return nil, err
	}
	return encode("message", encodableMessage(m), MaxMessageBytes)
}

// DecodeMessage decodes a message from JSON.
func DecodeMessage(data []byte) (*message.Message, error) {
	m := &message.Message{}
	if err := decode("message", data, m, MaxMessageBytes); err != nil {
		return nil, err
	}
	if err := restoreMessage(m); err != nil {
		return nil, err
	}
	return m, nil
}

// restoreMessage restores the fleet state in a decoded message and validates the message.
func restoreMessage(m *message.Message) error {
	if m.Log != nil && m.Log.Snapshot != nil {
		if err := restoreSnapshot(m.Log.Snapshot); err != nil {
			return err
		}
	}
	return checkMessage(m)
}

// encodableMessage returns m, or, if m contains a snapshot, a copy of m with the state in
// encoded form.
func encodableMessage(m *message.Message) *message.Message {
	if m.Log == nil || m.Log.Snapshot == nil {
		return m
	}
	log := *m.Log
	log.Snapshot = encodableSnapshot(log.Snapshot)
	return &message.Message{Log: &log}
}

func checkMessage(m *message.Message) error {
	n := countTrue(
		m.Log != nil, m.Renew != nil, m.Grant != nil,
		m.Ask != nil, m.Dispatch != nil, m.Refuse != nil,
		m.Done != nil, m.Settled != nil, m.Withdraw != nil,
		m.TargetReport != nil, m.WorkerReport != nil, m.ReportReply != nil,
		m.Command != nil,
		m.Call != nil, m.CallAnswer != nil, m.Redirect != nil,
		m.Contact != nil, m.ContactReply != nil,
		m.WorkerCalls != nil, m.WorkerReplies != nil,
	)
	if n != 1 {
		return invalid("message", "exactly one kind must be set")
	}
	if m.Log != nil {
		return checkLog(m.Log)
	}
	if m.Command != nil {
		return checkCommand(&m.Command.Command)
	}
	return nil
}

func checkLog(log *message.Log) error {
	if log.Snapshot != nil && log.Snapshot.State == nil {
		return invalid("message", "the state of the snapshot is missing")
	}
	for i := range log.Entries {
		if err := checkEntry(&log.Entries[i]); err != nil {
			return err
		}
	}
	return nil
}
