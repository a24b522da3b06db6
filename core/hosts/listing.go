package hosts

import (
	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/order"
)

// listing is what one read of the list of hosts says about a host. The list may have
// entries of other software, for a host of its own or for one of the fleet.
type listing struct {
	order.Host
	class entryClass
	// contradicted means that another entry of the same class names another worker, state
	// or pool.
	contradicted bool
}

// entryClass says what an entry is evidence of. Lower classes take precedence.
type entryClass int

const (
	completeEntry   entryClass = iota // of the host, and of the worker on it
	incompleteEntry                   // of the host
	unknownPool                       // of a host that no pool has
)

var ignoredReasons = map[entryClass]string{incompleteEntry: "incomplete", unknownPool: "unknown_pool"}

func classify(env Env, h *order.Host) entryClass {
	switch {
	case !env.Scheduler.IsPool(env.Schedule, h.Pool):
		return unknownPool
	case h.Incomplete || h.DataCentre == "" || h.Capacity.MilliCPU == 0:
		return incompleteEntry
	}
	return completeEntry
}

// isEvidence reports whether an entry says anything about the worker on its host.
func (l *listing) isEvidence() bool { return l.class == completeEntry && !l.contradicted }

// addEntry adds an entry to the list that is being read. Of several entries of a host, the
// latest of the lowest class counts.
func (p *Planner) addEntry(env Env, h order.Host) {
	entry := listing{Host: h, class: classify(env, &h)}
	if entry.class != completeEntry && env.Schedule.State.Config != nil {
		p.ignored.add(ignoredReasons[entry.class], h.ID)
	}
	if earlier, known := p.incoming[h.ID]; known {
		if earlier.class < entry.class {
			return
		}
		if earlier.class == entry.class {
			entry.contradicted = earlier.contradicted || earlier.Worker != h.Worker || earlier.State != h.State || earlier.Pool != h.Pool
		}
	}
	if entry.contradicted && entry.class == completeEntry {
		p.ignored.add("contradicted", h.ID)
	}
	p.incoming[h.ID] = entry
}

// replaces reports whether an entry counts for a host that is known already. One of an
// unknown pool does not change a host of a pool.
func (l *listing) replaces(env Env, h *host) bool {
	return l.class < unknownPool || !env.Scheduler.IsPool(env.Schedule, h.Pool)
}

// ignoredEntries counts the entries of one read that are not evidence, by reason.
type ignoredEntries map[string]*effect.Log

func (i ignoredEntries) add(reason string, id model.HostID) {
	if i[reason] == nil {
		i[reason] = &effect.Log{Detail: reason}
	}
	i[reason].Host = id
	i[reason].Count++
}

func (i ignoredEntries) log(out *Out) {
	for _, reason := range model.SortedKeys(i) {
		out.log(effect.HostEntryIgnored, *i[reason])
	}
}
