package rulesfile

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/rules"
	"primrosedale.example/primrosedale/rulesfile/filefault"
)

// entry is one rule as text.
type entry struct {
	rule  string // name in messages
	key   string // as written in the file
	value string
}

// Format returns r as the text of a rules file, ordered by kind and name. Comments are
// not part of the replicated rules, so every line gets the comment "restored from
// revision N".
func Format(r *rules.Rules) []byte {
	var text strings.Builder
	for _, e := range entries(r) {
		fmt.Fprintf(&text, "%s = %s  # restored from revision %d\n", e.key, e.value, r.Revision)
	}
	return []byte(text.String())
}

// entries returns the rules of r by kind, then by name.
func entries(r *rules.Rules) []entry {
	list := []entry{{revisionKind, revisionKind, strconv.FormatUint(r.Revision, 10)}}
	list = appendEntries(list, "team", r.Teams, teamText)
	list = appendEntries(list, "queue", r.Queues, queueText)
	list = appendEntries(list, "pool", r.Pools, poolText)
	list = appendEntries(list, "datacentre", r.DataCentres, dataCentreText)
	list = appendEntries(list, "wave", r.Waves, waveText)
	list = appendEntries(list, "objective", r.Objectives, objectiveText)
	list = appendEntries(list, "host", r.Hosts, hostText)
	return list
}

func appendEntries[K ~string, V any](list []entry, kind string, m map[K]V, text func(V) []string) []entry {
	for _, name := range slices.Sorted(maps.Keys(m)) {
		list = append(list, entry{
			rule:  kind + "." + string(name),
			key:   kind + "." + keyText(string(name)),
			value: "{ " + strings.Join(text(m[name]), ", ") + " }",
		})
	}
	return list
}

// keyText returns a name as one part of a dotted key, quoted if it contains a dot.
func keyText(name string) string {
	if strings.Contains(name, ".") {
		return strconv.Quote(name)
	}
	return name
}

func teamText(t rules.Team) []string {
	return []string{
		"share = " + filefault.FormatNumber(t.Share),
		"limit = " + strconv.Itoa(t.Limit),
	}
}

func queueText(q rules.Queue) []string {
	text := []string{
		"service = " + strconv.Quote(string(q.Service)),
		"precedence = " + strconv.Itoa(q.Precedence),
		"max_run_s = " + filefault.FormatNumber(q.MaxRun.Seconds()),
	}
	if q.Open {
		text = append(text, "open = true")
	}
	if q.Team != "" {
		text = append(text, "team = "+strconv.Quote(string(q.Team)))
	}
	if q.Overnight {
		text = append(text, "overnight = true")
	}
	return text
}

func poolText(p rules.Pool) []string {
	text := []string{
		"hosts_min = " + strconv.Itoa(p.HostsMin),
		"unavailable_max = " + strconv.Itoa(p.UnavailableMax),
	}
	if p.Spare {
		text = append(text, "spare = true")
	}
	if p.HostsMax > 0 {
		text = append(text, "hosts_max = "+strconv.Itoa(p.HostsMax))
	}
	if p.Buffer > 0 {
		text = append(text, "buffer = "+strconv.Itoa(p.Buffer))
	}
	if p.Survive != rules.DomainNone {
		text = append(text, "survive = "+strconv.Quote(string(p.Survive)))
	}
	return text
}

func dataCentreText(d rules.DataCentre) []string {
	return []string{"out = " + strconv.FormatBool(d.Out)}
}

func waveText(w rules.Wave) []string {
	pools := make([]string, len(w.Pools))
	for i, pool := range w.Pools {
		pools[i] = strconv.Quote(string(pool))
	}
	return []string{
		"pools = [" + strings.Join(pools, ", ") + "]",
		"image = " + strconv.Quote(w.Image),
	}
}

func objectiveText(o rules.Objective) []string {
	work := "service = " + strconv.Quote(string(o.Service))
	if o.Pool != "" {
		work = "pool = " + strconv.Quote(string(o.Pool))
	}
	return []string{
		"team = " + strconv.Quote(string(o.Team)),
		work,
		"good = " + filefault.FormatNumber(o.Good),
		"window_h = " + strconv.FormatInt(int64(o.Window/model.Hour), 10),
	}
}

func hostText(h rules.HostPlacement) []string {
	return []string{"pool = " + strconv.Quote(string(h.Pool))}
}
