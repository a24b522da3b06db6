package event

import (
	"primrosedale.example/primrosedale/core/call"
	"primrosedale.example/primrosedale/core/message"
)

// Class groups events by how long they may wait until the control goroutine handles
// them.
type Class int

// The classes, in order of urgency, most urgent first.
const (
	// ClassControl is for the replicated log, durability, operators' calls and the stop
	// of the process. Elections and the leader lease depend on it.
	ClassControl Class = iota
	// ClassWork is for events that accepted work waits for.
	ClassWork
	// ClassIntake is for submissions of jobs and queries about them, which may be
	// refused.
	ClassIntake
	// Classes is the number of classes.
	Classes
)

// String returns the name of the class as used in metrics.
func (c Class) String() string {
	switch c {
	case ClassControl:
		return "control"
	case ClassWork:
		return "work"
	}
	return "intake"
}

// ClassOf returns the class of an event. Events of one class keep their order, so all
// messages between a gateway and the owner of a queue are of one class.
func ClassOf(e Event) Class {
	switch e := e.(type) {
	case Received:
		return classOfMessage(&e.Message)
	case CallArrived:
		return classOfCall(&e.Call)
	case CallAbandoned:
		return e.Class
	case Tick, Persisted, PersistFailed, SettingsChanged, StopRequested:
		return ClassControl
	}
	return ClassWork
}

func classOfMessage(m *message.Message) Class {
	switch {
	case m.Log != nil, m.Contact != nil, m.ContactReply != nil:
		return ClassControl
	case m.Call != nil:
		return classOfCall(m.Call)
	}
	return ClassWork
}

func classOfCall(c *call.Call) Class {
	switch {
	case c.IsOperatorCall():
		return ClassControl
	case c.Submit != nil || c.Query != nil:
		return ClassIntake
	}
	return ClassWork
}
