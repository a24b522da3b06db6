package dispatch

import "primrosedale.example/primrosedale/core/model"

// HostBusy reports whether a request may be running on a target of the host.
// Its cost is linear in the number of targets.
func (o *Owner) HostBusy(host model.HostID) bool {
	for _, t := range o.targets {
		if t.reg.Host == host && (len(t.runs) > 0 || !t.verified) {
			return true
		}
	}
	return false
}
