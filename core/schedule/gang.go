package schedule

import (
	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
)

// placeGang assigns either all tasks of a gang or none. Their runs have the same run
// number.
func (s *Scheduler) placeGang(env Env, usable []*worker, job *activeJob, first jobs.TaskRef) []jobs.Assignment {
	if job.job.Steps[first.Step].Colocated {
		for _, rack := range racks(usable) {
			if list := s.placeMembers(env, onRack(usable, rack), job, first); list != nil {
				return list
			}
		}
	}
	return s.placeMembers(env, usable, job, first)
}

func (s *Scheduler) placeMembers(env Env, usable []*worker, job *activeJob, first jobs.TaskRef) []jobs.Assignment {
	run := 0
	members := job.job.Rounds[first.Round].Tasks[first.Step]
	for i := range members {
		run = max(run, members[i].Run+1)
	}
	var list []jobs.Assignment
	for i := range members {
		ref := first
		ref.Index = i
		w := s.choose(env, usable, maxFree(usable), job, ref)
		if w == nil {
			s.withdrawAssignments(list)
			return nil
		}
		list = append(list, s.assignRun(env, job, jobs.RunRef{TaskRef: ref, Run: run}, w))
	}
	return list
}

// withdrawAssignments undoes assignments that have not been proposed.
func (s *Scheduler) withdrawAssignments(list []jobs.Assignment) {
	for i := range list {
		delete(s.proposed, list[i].TaskRef)
		if r := s.runs[list[i].RunRef]; r != nil {
			dirty := s.pool(r.worker.info.Service).dirty
			s.dropRun(r)
			s.pool(r.worker.info.Service).dirty = dirty // no capacity has become free
		}
	}
}

// stopGang stops the other members of a gang after one has ended without being done,
// since they would wait for it forever.
func (s *Scheduler) stopGang(env Env, out *Out, ended *run) {
	if !ended.step.Gang {
		return
	}
	for i := range ended.step.Tasks {
		ref := ended.ref
		ref.Index = i
		if r := s.runs[ref]; r != nil && r != ended {
			s.stop(env, out, r, "another member of its gang has ended")
		}
	}
}

func racks(workers []*worker) []model.RackID {
	seen := make(map[model.RackID]bool)
	for _, w := range workers {
		seen[w.info.Rack] = true
	}
	return model.SortedKeys(seen)
}

func onRack(workers []*worker, rack model.RackID) []*worker {
	var list []*worker
	for _, w := range workers {
		if w.info.Rack == rack {
			list = append(list, w)
		}
	}
	return list
}
