package dispatch

import "fmt"

// Audit compares the owner's counts with the runs that they stand for. It
// returns an error that names the first difference. Tests call it after each
// event; it takes time in proportion to all runs and targets.
func (o *Owner) Audit() error {
	byTeam := make(map[*team]int)
	for id, r := range o.runs {
		if r.id != id || r.target.runs[id] != r {
			return fmt.Errorf("run %v is not on target %s", id, r.target.reg.ID)
		}
		byTeam[r.team]++
	}
	for _, id := range sortedKeys(o.teams) {
		if t := o.teams[id]; t.running != byTeam[t] {
			return fmt.Errorf("team %s counts %d running and has %d runs", id, t.running, byTeam[t])
		}
	}
	return o.auditTargets()
}

func (o *Owner) auditTargets() error {
	runs, unknown := 0, 0
	for _, id := range sortedKeys(o.targets) {
		t := o.targets[id]
		runs += len(t.runs)
		if !t.proven {
			unknown += t.reg.Slots
		}
	}
	if runs != len(o.runs) {
		return fmt.Errorf("targets have %d runs of %d", runs, len(o.runs))
	}
	if unknown != o.unknownSlots {
		return fmt.Errorf("%d slots count as unknown, %d are", o.unknownSlots, unknown)
	}
	return nil
}
