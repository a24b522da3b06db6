package core

import "primrosedale.example/primrosedale/core/effect"

// noteLease logs that this host's lease has ended or was granted again.
func (s *State) noteLease() {
	serving := s.holder.Valid(s.now)
	if serving == s.serving {
		return
	}
	s.serving = serving
	code := effect.LeaseLost
	if serving {
		code = effect.LeaseRegained
	}
	_, term := s.holder.Leader()
	s.emit(effect.Log{Code: code, Term: term})
}

// noteHosts logs, on the leader, the entry hosts that no longer renew their
// lease and those that do so again.
func (s *State) noteHosts() {
	for _, host := range s.leading.members {
		silent := !s.leading.granter.Serving(s.now, host)
		if silent == s.leading.silent[host] {
			continue
		}
		s.leading.silent[host] = silent
		code := effect.HostBack
		if silent {
			code = effect.HostSilent
		}
		s.emit(effect.Log{Code: code, Host: host, Term: s.leading.term})
	}
}
