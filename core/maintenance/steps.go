package maintenance

import (
	"fmt"

	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/fleet"
	"primrosedale.example/primrosedale/core/model"
)

// Reasons given in plans and log lines.
const (
	reasonRules    = "placed by the rules"
	reasonMinimum  = "pool below its minimum"
	reasonNeed     = "pool needs more hosts"
	reasonExcess   = "pool needs fewer hosts"
	reasonDrained  = "drained"
	reasonBack     = "back"
	reasonGivenUp  = "drain given up"
	reasonObsolete = "plan no longer wanted"
)

// nextStep proposes the next step of a host, if there is one.
func (p *Planner) nextStep(env Env, out *Output, id model.HostID) {
	h := p.hosts[id]
	if h == nil || !h.known || h.stepProposed || env.Now < h.notBefore {
		return
	}
	switch h.state.Phase {
	case fleet.HostServing:
		p.stepServing(env, out, id, h)
	case fleet.HostDraining:
		p.stepDraining(env, out, id, h)
	case fleet.HostRebooting:
		p.stepRebooting(env, out, id, h)
	}
}

// stepServing starts the move that the rules require, or else the drain for a
// maintenance wave.
func (p *Planner) stepServing(env Env, out *Output, id model.HostID, h *host) {
	if !h.state.Up || p.passes == 0 {
		return // the hosts that failed to return are known after one pass
	}
	if pool := p.poolByRules(id, h); pool != h.state.Pool {
		p.move(env, out, id, h, pool, reasonRules)
		return
	}
	name, ok := p.waves[h.state.Pool]
	if !ok || p.stoppedWaves[name] {
		return
	}
	image := p.rules.Waves[name].Image
	if h.state.Image != image && p.mayGetImage(image) && p.hasBudget(env, h.state.Pool) {
		p.drain(env, out, id, h, fleet.PlanHost{Image: image, Reason: "wave " + name})
	}
}

// mayGetImage reports whether one more host may get an image. Until one host serves
// with the image, at most failedReturnsToStop hosts get it: the number of failed returns
// that stops a wave.
func (p *Planner) mayGetImage(image string) bool {
	return p.servingByImage[image] > 0 || p.trialsByImage[image] < failedReturnsToStop
}

// poolByRules returns the pool that the rules assign a host to. A host that reported
// before any rules were applied has no pool, and goes to the first spare pool.
func (p *Planner) poolByRules(id model.HostID, h *host) model.PoolID {
	if placement, ok := p.rules.Hosts[id]; ok && p.pinned(id) {
		return placement.Pool
	}
	if _, ok := p.rules.Pools[h.state.Pool]; ok {
		return h.state.Pool
	}
	for _, pool := range model.SortedKeys(p.rules.Pools) {
		if p.rules.Pools[pool].Spare {
			return pool
		}
	}
	return h.state.Pool
}

// move starts to move a host to another pool. The host gets the image of the new
// pool's wave on the way, which saves a second drain.
func (p *Planner) move(env Env, out *Output, id model.HostID, h *host, to model.PoolID, reason string) bool {
	if h.movedRecently(env.Now) || !p.hasBudget(env, h.state.Pool) {
		return false
	}
	plan := fleet.PlanHost{Pool: to, Reason: reason}
	if name, ok := p.waves[to]; ok && !p.stoppedWaves[name] {
		if image := p.rules.Waves[name].Image; image != h.state.Image && p.mayGetImage(image) {
			plan.Image = image
		}
	}
	p.drain(env, out, id, h, plan)
	return true
}

func (h *host) movedRecently(now model.Time) bool {
	return h.state.MovedAt != 0 && now < h.state.MovedAt.Add(MoveInterval)
}

// hasBudget reports whether one more host of the pool may leave service. The budget
// is checked again when the drain is applied.
func (p *Planner) hasBudget(env Env, id model.PoolID) bool {
	rule, ok := p.rules.Pools[id]
	if env.Policy == PolicyFirstFit && p.changingHosts > 0 {
		return false
	}
	if !ok {
		return true // hosts without a pool have no budget
	}
	return env.Fleet.UnavailableIn(id)+p.pool(id).proposedDrains < rule.UnavailableMax
}

func (p *Planner) drain(env Env, out *Output, id model.HostID, h *host, plan fleet.PlanHost) {
	h.drainProposed = true
	p.changingHosts++
	p.countTrial(plan.Image, 1)
	p.pool(h.state.Pool).proposedDrains++
	h.moveProposed = plan.Pool != ""
	if h.moveProposed {
		p.pool(plan.Pool).proposedMovesIn++
		p.pool(h.state.Pool).proposedMovesOut++
	}
	plan.Action = fleet.HostDrain
	p.propose(env, out, id, h, plan)
}

func (p *Planner) propose(env Env, out *Output, id model.HostID, h *host, plan fleet.PlanHost) {
	h.stepProposed = true
	plan.Host = id
	out.Proposals = append(out.Proposals, fleet.Command{At: env.Now, PlanHost: &plan})
}

// stepDraining reboots a host that is drained, and cancels a drain that takes longer
// than DrainTimeout or is no longer wanted.
func (p *Planner) stepDraining(env Env, out *Output, id model.HostID, h *host) {
	switch {
	case !p.planStillWanted(env, id, h):
		p.propose(env, out, id, h, fleet.PlanHost{Action: fleet.HostReturn, Reason: reasonObsolete})
	case len(env.Fleet.PlacedOn(id)) == 0 && !env.Busy(id):
		p.propose(env, out, id, h, fleet.PlanHost{
			Action: fleet.HostReboot, Pool: h.state.MoveTo, Image: h.state.ImageWant, Reason: reasonDrained,
		})
	case env.Now.Sub(h.state.DrainSince) >= DrainTimeout:
		h.notBefore = env.Now.Add(DrainRetryDelay)
		p.propose(env, out, id, h, fleet.PlanHost{Action: fleet.HostReturn, Reason: reasonGivenUp})
	}
}

// planStillWanted reports whether the plan of a draining host is still needed.
func (p *Planner) planStillWanted(env Env, id model.HostID, h *host) bool {
	if h.state.MoveTo != "" {
		return p.moveStillNeeded(env, id, h)
	}
	name, ok := p.waves[h.state.Pool]
	return ok && !p.stoppedWaves[name] && p.rules.Waves[name].Image == h.state.ImageWant
}

// stepRebooting returns a host to service once it is back with the wanted image, and
// counts a host that is not back within ReturnTimeout as a failed return.
func (p *Planner) stepRebooting(env Env, out *Output, id model.HostID, h *host) {
	s := &h.state
	if image, changed := p.changedImage(h); changed {
		p.propose(env, out, id, h, fleet.PlanHost{
			Action: fleet.HostRetarget, Pool: s.MoveTo, Image: image, Reason: reasonObsolete,
		})
		return
	}
	if s.Up && s.Rebooted() && (s.ImageWant == "" || s.Image == s.ImageWant) {
		p.propose(env, out, id, h, fleet.PlanHost{
			Action: fleet.HostReturn, Pool: s.MoveTo, Image: s.ImageWant, Reason: reasonBack,
		})
		return
	}
	if env.Now.Sub(s.RebootSince) >= ReturnTimeout {
		p.countHost(h, -1)
		h.missing = true // its pool counts as short of a host from now on
		p.countHost(h, 1)
		p.recordFailedReturn(out, id, h)
	}
}

// changedImage returns the image that a rebooting host must get instead of the one in
// its plan, if the rules have changed since. Otherwise a host would wait for ever for
// the image of a wave that was withdrawn because the image fails.
func (p *Planner) changedImage(h *host) (string, bool) {
	if h.state.ImageWant == "" {
		return "", false
	}
	image := ""
	if name, ok := p.waves[h.nextPool()]; ok {
		image = p.rules.Waves[name].Image
	}
	return image, image != h.state.ImageWant
}

// nextPool returns the pool that the host serves in once its plan is complete.
func (h *host) nextPool() model.PoolID {
	if h.state.MoveTo != "" {
		return h.state.MoveTo
	}
	return h.state.Pool
}

// recordFailedReturn counts a host that did not come back against the wave whose
// image it was to get. At failedReturnsToStop hosts the wave stops.
func (p *Planner) recordFailedReturn(out *Output, id model.HostID, h *host) {
	image := h.state.ImageWant
	name, ok := p.waves[h.nextPool()]
	if !ok || p.rules.Waves[name].Image != image {
		return
	}
	if p.failedReturns[name] == nil {
		p.failedReturns[name] = make(map[model.HostID]bool)
	}
	p.failedReturns[name][id] = true
	if n := len(p.failedReturns[name]); n >= failedReturnsToStop && !p.stoppedWaves[name] {
		p.stoppedWaves[name] = true
		out.log(effect.Log{Code: effect.WaveStopped, Host: id, Detail: fmt.Sprintf(
			"wave %s: %d hosts did not come back with image %s within 10 minutes", name, n, image)})
	}
}
