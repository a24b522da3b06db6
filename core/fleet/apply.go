package fleet

import (
	"maps"
	"slices"

	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/problem"
	"primrosedale.example/primrosedale/core/rules"
)

// New returns an empty state, to which no command has been applied.
func New() *State {
	s := &State{}
	s.RebuildIndex()
	return s
}

// Apply applies the committed command c at log index index and returns its
// result. Refused commands change nothing but Index, Now and Recent. An index
// that is not larger than State.Index has no effect and the result is
// problem.Internal. Apply copies c.ApplyRules.Rules; the caller must not change
// anything else that c points to afterwards.
func (s *State) Apply(index uint64, c *Command) Result {
	if s.index == nil {
		s.RebuildIndex()
	}
	if index <= s.Index {
		return refused(problem.Internal, "log index %d is not after %d", index, s.Index)
	}
	s.Index = index
	s.Now = max(s.Now, c.At)
	s.removeExpired()
	if first, ok := s.Recent[c.ID]; ok && c.ID != "" {
		return first.Result
	}
	result := s.applyCommand(c)
	if c.ID != "" {
		s.saveResult(c.ID, result)
	}
	s.removeExpired()
	return result
}

// applyCommand calls the handler for the field of c that is set.
func (s *State) applyCommand(c *Command) Result {
	switch {
	case c.ApplyRules != nil:
		return s.applyRules(c.ApplyRules)
	case c.GrantKey != nil:
		return s.grantKey(c.GrantKey)
	case c.WithdrawKey != nil:
		return s.withdrawKey(c.WithdrawKey)
	case c.AddMember != nil:
		return s.addMember(c.AddMember)
	case c.Claim != nil:
		return s.claim(c.Claim)
	case c.Complete != nil:
		return s.complete(c.Complete)
	case c.Release != nil:
		return s.release(c.Release)
	case c.RegisterTarget != nil:
		return s.registerTarget(c.RegisterTarget)
	case c.RemoveTarget != nil:
		return s.removeTarget(c.RemoveTarget)
	case c.ReportHost != nil:
		return s.reportHost(c.ReportHost)
	case c.PlanHost != nil:
		return s.planHost(c.PlanHost)
	case c.SubmitTask != nil:
		return s.submitTask(c.SubmitTask)
	case c.PlaceTask != nil:
		return s.placeTask(c.PlaceTask)
	case c.EndTask != nil:
		return s.endTask(c.EndTask)
	case c.CancelTask != nil:
		return s.cancelTask(c.CancelTask)
	case c.RecordBurn != nil:
		return s.recordBurn(c.RecordBurn)
	case c.Jobs != nil:
		result := s.Jobs.Apply(c.Jobs, s.Index, s.Now)
		return Result{Problem: result.Problem, Jobs: &result}
	}
	return refused(problem.BadRequest, "the command is empty")
}

// refused returns the result of a command that changed nothing.
func refused(kind problem.Kind, format string, args ...any) Result {
	return Result{Problem: problem.New(kind, format, args...)}
}

// Clone returns a copy that another goroutine can read or encode while commands
// are applied to s. The copy shares the values behind pointers with s; they are
// immutable. Its ClaimList is filled. Its index is not built: call
// RebuildIndex before using the queries that need it. Apply builds it when it is
// missing.
func (s *State) Clone() *State {
	c := *s
	c.index = nil
	c.Accepted = slices.Clone(s.Accepted)
	c.Keys = maps.Clone(s.Keys)
	c.Members = maps.Clone(s.Members)
	c.Claims = maps.Clone(s.Claims)
	c.Targets = maps.Clone(s.Targets)
	c.Hosts = maps.Clone(s.Hosts)
	c.Tasks = maps.Clone(s.Tasks)
	c.Recent = maps.Clone(s.Recent)
	if s.Jobs != nil {
		c.Jobs = s.Jobs.Clone()
	}
	c.ClaimList = s.listClaims()
	return &c
}

// initFields initialises the fields that may be nil in an empty or decoded state.
func (s *State) initFields() {
	if s.Rules == nil {
		s.Rules = &rules.Rules{}
	}
	if s.Jobs == nil {
		s.Jobs = &jobs.State{}
	}
	s.Jobs.MakeMaps()
	if s.Keys == nil {
		s.Keys = make(map[string]Key)
	}
	if s.Members == nil {
		s.Members = make(map[model.HostID]Member)
	}
	if s.Targets == nil {
		s.Targets = make(map[model.TargetID]Target)
	}
	if s.Hosts == nil {
		s.Hosts = make(map[model.HostID]Host)
	}
	if s.Tasks == nil {
		s.Tasks = make(map[model.TaskID]*Task)
	}
	if s.Recent == nil {
		s.Recent = make(map[model.CommandID]RecentResult)
	}
	if s.Claims == nil || len(s.ClaimList) > 0 {
		s.loadClaims()
	}
}
