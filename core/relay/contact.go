package relay

import (
	"primrosedale.example/primrosedale/core/call"
	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/message"
	"primrosedale.example/primrosedale/core/model"
)

// maintainContact keeps an entry host in contact with the leader, or looks for a
// leader.
func (t *Table) maintainContact(now model.Time) []effect.Effect {
	var out []effect.Effect
	if t.cfg.Replica {
		if t.leader == "" && now.Sub(t.contactedAt) >= searchInterval {
			return t.contactAll(now)
		}
		return nil
	}
	if ready := t.Ready(now); ready != t.loggedReady {
		t.loggedReady = ready
		code := effect.ContactLost
		if ready {
			code = effect.ContactRegained
		}
		out = append(out, effect.Log{Code: code, Host: t.leader})
	}
	if t.leader != "" && now.Sub(t.leaderHeardAt) < leaderSilenceMax && !t.probeOverdue(now) {
		if now.Sub(t.contactedAt) >= contactInterval {
			out = append(out, t.contactReplica(now, t.leader))
		}
		return out
	}
	if now.Sub(t.contactedAt) >= searchInterval {
		out = append(out, t.contactAll(now)...)
	}
	return out
}

// contactAll asks all known replicas which one leads.
func (t *Table) contactAll(now model.Time) []effect.Effect {
	var out []effect.Effect
	for _, r := range t.replicas {
		out = append(out, t.contactReplica(now, r))
	}
	return out
}

func (t *Table) contactReplica(now model.Time, replica model.HostID) effect.Effect {
	t.contactedAt = now
	return t.sendContact(now, replica)
}

func (t *Table) sendContact(now model.Time, replica model.HostID) effect.Effect {
	t.seq++
	t.contacts.sent(now, t.seq)
	return effect.Send{To: replica, Message: message.Message{Contact: &call.Contact{Seq: t.seq}}}
}

// HandleContactReply handles a replica's reply to a Contact.
func (t *Table) HandleContactReply(now model.Time, from model.HostID, r *call.ContactReply) []effect.Effect {
	t.addReplicas(r.Replicas)
	t.repliedAt = now
	t.electing.observe(now, from, r)
	if t.cfg.Replica {
		return nil
	}
	if !r.Leads {
		if t.leader == from || t.leader == "" && r.Leader != "" && r.Leader != from {
			t.leader = r.Leader
			if t.probes() {
				return t.probeNamed(now)
			}
			return t.forwardAll(now)
		}
		return nil
	}
	if t.isOfEarlierTerm(r.Stamp) {
		return nil
	}
	if r.BodyBytes > 0 && !r.Stamp.IsBefore(t.stamp) {
		t.bodyLimit = r.BodyBytes // only the leader knows which configuration is in force
	}
	known := t.leader == from && t.stamp.Term == r.Stamp.Term
	t.leader, t.leaderHeardAt = from, now
	t.contacts.answered(r.Seq)
	t.setStamp(r.Stamp)
	if known {
		return t.forwardUnsent(now)
	}
	return t.forwardAll(now)
}
