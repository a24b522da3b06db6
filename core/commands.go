package core

import (
	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/fleet"
	"primrosedale.example/primrosedale/core/message"
	"primrosedale.example/primrosedale/core/model"
)

// Times of submitted commands.
const (
	commandResend  = 1000 * model.Millisecond
	commandTimeout = 10 * model.Second
)

// submit sends a command to the leader and keeps it until it is applied on this host.
func (s *State) submit(c fleet.Command) {
	if p := s.pending[c.ID]; p != nil {
		return
	}
	p := &pendingCommand{command: c, deadline: s.now.Add(commandTimeout)}
	s.pending[c.ID] = p
	s.sendCommand(p)
}

// answerCommand answers a command that was submitted on this host. The result is that
// of its first application, so a repeated command gets the same answer.
func (s *State) answerCommand(c *fleet.Command, result fleet.Result) {
	if c.ID == "" || s.pending[c.ID] == nil {
		return
	}
	delete(s.pending, c.ID)
	s.emit(effect.AnswerCommand{ID: c.ID, Result: result})
}

func (s *State) sendCommand(p *pendingCommand) {
	p.resendAt = s.now.Add(commandResend)
	if leader, _ := s.holder.Leader(); leader != "" {
		s.send(leader, message.Message{Command: &message.Command{Command: p.command}})
	}
}

// resendCommands sends the commands again that have not been applied here, and drops
// them after the time that the submitter waits.
func (s *State) resendCommands() {
	for _, id := range model.SortedKeys(s.pending) {
		p := s.pending[id]
		if s.now >= p.deadline {
			delete(s.pending, id)
		} else if s.now >= p.resendAt {
			s.sendCommand(p)
		}
	}
}
