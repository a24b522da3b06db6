package core

import (
	"primrosedale.example/primrosedale/core/consensus"
	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/model"
)

// settleGrace is how long a stopping host waits for the owner to acknowledge outcomes.
// At least half of it passes after the last caller was answered. The owner learns the
// other outcomes from the targets' reports.
const settleGrace = 2 * model.Second

// stop begins the graceful stop: nothing new is accepted, the leadership is transferred
// to another replica, and the process halts once its last caller is answered.
func (s *State) stop() {
	if s.stopping {
		return
	}
	s.stopping = true
	s.stopAt = s.now
	s.emit(effect.Log{Code: effect.Stopping})
	s.table.Stop(s.now)
	s.agent.SetLeaving()
	s.log.TransferLeadership(s.now)
}

// transferIfDiskStalled transfers the leadership while the disk of this process takes
// no writes, since a leader acts only on entries that are on its own disk.
func (s *State) transferIfDiskStalled() {
	if !s.log.WriteStalled(s.now) {
		s.stallLogged = false
		return
	}
	if s.log.TransferLeadership(s.now) && !s.stallLogged {
		s.stallLogged = true
		s.emit(effect.Log{Code: effect.DiskStalled})
	}
}

// finishStop halts a stopping process when it has nothing left to finish.
func (s *State) finishStop() {
	if !s.stopping || s.halted {
		return
	}
	if s.log.BasicStatus().Role == consensus.Leader && s.now < s.stopAt.Add(settleGrace) {
		s.log.TransferLeadership(s.now)
		return
	}
	if s.table.Unanswered() > 0 || s.relay.Len() > 0 {
		s.stopAt = max(s.stopAt, s.now.Add(-settleGrace/2))
		return
	}
	busy := s.table.Len() > 0 || !s.agent.Idle(s.now, TickInterval)
	if busy && s.now < s.stopAt.Add(settleGrace) {
		return
	}
	s.sendFinalCounts()
	s.halted = true
	s.emit(effect.Halt{})
}
