package core

import (
	"slices"
	"strings"

	"primrosedale.example/primrosedale/core/effect"
)

// logLeaseChange logs that this host's serving lease has ended or was granted again.
func (s *State) logLeaseChange() {
	serving := s.holder.Valid(s.now)
	if serving == s.loggedServing {
		return
	}
	s.loggedServing = serving
	code := effect.LeaseLost
	if serving {
		code = effect.LeaseRegained
	}
	_, term := s.holder.Leader()
	s.emit(effect.Log{Code: code, Term: term})
}

// logSilentHosts logs, on the leader, the entry hosts that no longer renew their lease
// and those that renew it again.
func (s *State) logSilentHosts() {
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

// logTermChange logs each new term once.
func (s *State) logTermChange(term uint64) {
	if term != s.loggedTerm {
		s.loggedTerm = term
		s.emit(effect.Log{Code: effect.TermChanged, Term: term})
	}
}

// loadReplicas loads the voters of a snapshot, so that they are not logged as new ones.
func (s *State) loadReplicas(snap *logSnapshot) {
	if snap == nil {
		return
	}
	for _, id := range slices.Concat(snap.Retired, snap.Voters) {
		s.replicas[id.Host] = id.Incarnation
	}
}

// describeVoters lists the hosts of a set of voters in the order of their names.
func describeVoters(e *logEntry) string {
	hosts := make([]string, 0, len(e.Voters))
	for _, id := range e.Voters {
		hosts = append(hosts, string(id.Host))
	}
	slices.Sort(hosts)
	text := strings.Join(hosts, " ")
	if len(e.Outgoing) > 0 {
		text += ", exchange not complete"
	}
	return text
}

// logVoters logs a committed set of voters and, on the leader, the replicas that it
// adds or replaces.
func (s *State) logVoters(e *logEntry) {
	s.emit(effect.Log{Code: effect.VotersChanged, Index: e.Index, Detail: describeVoters(e)})
	for _, id := range e.Voters {
		earlier, known := s.replicas[id.Host]
		s.replicas[id.Host] = id.Incarnation
		if s.leading == nil || earlier == id.Incarnation {
			continue
		}
		code := effect.ReplicaJoined
		if known {
			code = effect.ReplicaReplaced
		}
		s.emit(effect.Log{Code: code, Host: id.Host, Index: e.Index})
	}
}
