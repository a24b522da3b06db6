package daemon

import (
	"fmt"
	"github.com/VictoriaMetrics/metrics"

	"primrosedale.example/primrosedale/announce"
	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/gateway"
	"primrosedale.example/primrosedale/logevent"
	"primrosedale.example/primrosedale/operator"
	"primrosedale.example/primrosedale/transport"
)

// executor passes each effect to the component that carries it out.
type executor struct {
	transport *transport.Transport
	writer    *logWriter // nil without a data folder
	gateway   *gateway.Server
	announcer *announce.Server
	operator  *operator.Server
	log       logevent.Logger

	ignoredHeartbeats logevent.RateLimited
}

// Execute implements control.Executor.
func (x *executor) Execute(e effect.Effect) {
	switch e := e.(type) {
	case effect.Send:
		x.transport.Send(e)
	case effect.Persist:
		x.writer.persist(e)
	case effect.Forward:
		x.gateway.Forward(e)
	case effect.AnswerRequest:
		x.gateway.AnswerRequest(e)
	case effect.AnswerCommand:
		x.gateway.AnswerCommand(e)
		x.operator.AnswerCommand(e)
	case effect.AnswerStatus:
		x.gateway.AnswerStatus(e)
		x.operator.AnswerStatus(e)
	case effect.AnswerReport:
		x.announcer.AnswerReport(e)
	case effect.Log:
		x.emit(e)
	}
}

// logEventIDs maps each log code of the reducer to the number of its log event.
var logEventIDs = map[effect.Code]logevent.ID{
	effect.LeaderElected:    logevent.LeaderElected,
	effect.LeaderLost:       logevent.LeaderLost,
	effect.LeaseLost:        logevent.LeaseLost,
	effect.LeaseRegained:    logevent.LeaseRegained,
	effect.HostSilent:       logevent.HostCutOff,
	effect.HostBack:         logevent.HostReturned,
	effect.MemberAdded:      logevent.MemberAdded,
	effect.VotersChanged:    logevent.VotersChanged,
	effect.SnapshotTaken:    logevent.SnapshotWritten,
	effect.SnapshotReceived: logevent.SnapshotInstalled,
	effect.SyncFailed:       logevent.SyncFailed,
	effect.DiskStalled:      logevent.DiskStalled,
	effect.RulesAccepted:    logevent.RulesAccepted,
	effect.RulesRefused:     logevent.RulesRefused,
	effect.RulesInForce:     logevent.RulesInForce,
	effect.KeyGranted:       logevent.KeyGranted,
	effect.KeyWithdrawn:     logevent.KeyWithdrawn,
	effect.TargetRegistered: logevent.TargetRegistered,
	effect.TargetSilent:     logevent.TargetSilent,
	effect.TargetLeaving:    logevent.TargetLeaving,
	effect.TargetRemoved:    logevent.TargetRemoved,
	effect.DispatchReady:    logevent.DispatchReady,
	effect.RequestRefused:   logevent.RequestRefused,
	effect.OutcomeUnknown:   logevent.OutcomeUnknown,
	effect.WorkerSeen:       logevent.WorkerSeen,
	effect.WorkerSilent:     logevent.WorkerSilent,
	effect.WorkerRestarted:  logevent.WorkerRestarted,
	effect.WorkerSuspect:    logevent.WorkerQuarantined,
	effect.TaskPlaced:       logevent.TaskPlaced,
	effect.TaskEnded:        logevent.TaskEnded,
	effect.TaskPreempted:    logevent.TaskPreempted,
	effect.HostDraining:     logevent.DrainStarted,
	effect.HostReturned:     logevent.HostInService,
	effect.WaveStopped:      logevent.WaveStopped,
	effect.TermChanged:      logevent.TermChanged,
	effect.ReplicaJoined:    logevent.ReplicaJoined,
	effect.ReplicaReplaced:  logevent.ReplicaReplaced,
	effect.ReplicaRetired:   logevent.ReplicaRetired,
	effect.TargetReturned:   logevent.TargetReturned,
	effect.ClaimUnknown:     logevent.ClaimUnknown,
	effect.QueueFull:        logevent.QueueFull,
	effect.RetryBudgetSpent: logevent.RetryBudgetSpent,
	effect.WorkerReleased:   logevent.WorkerReleased,
	effect.AnswersLost:      logevent.AnswersLost,
	effect.LeaderLoad:       logevent.LeaderLoad,
	effect.TaskLost:         logevent.TaskLost,
	effect.TaskFailed:       logevent.TaskFailed,
	effect.TaskRefused:      logevent.TaskRefused,
	effect.HostDrained:      logevent.DrainEnded,
	effect.HostMoved:        logevent.HostMoved,
	effect.WaveStep:         logevent.WaveStep,
	effect.WaveEnded:        logevent.WaveEnded,
	effect.DataCentreOut:    logevent.DataCentreOut,
	effect.DataCentreIn:     logevent.DataCentreIn,
	effect.Stopping:         logevent.ProcessStopping,
	effect.JobAccepted:      logevent.JobAccepted,
	effect.JobRefused:       logevent.JobRefused,
	effect.JobEnded:         logevent.JobEnded,
	effect.TeamPart:         logevent.TeamPart,
	effect.RunOrdered:       logevent.RunOrdered,
	effect.RunEnded:         logevent.RunEnded,
	effect.RunStopped:       logevent.RunStopped,
	effect.RunGivenUp:       logevent.RunGivenUp,
	effect.RunRepeated:      logevent.RunRepeated,
	effect.LostRunListed:    logevent.LostRunListed,
	effect.AdviceFailed:     logevent.AdviceFailed,
	effect.RunThrottled:     logevent.RunThrottled,
	effect.WorkerGone:       logevent.WorkerGone,
	effect.ConfigRefused:    logevent.ConfigRefused,
	effect.WaveStarted:      logevent.WaveStarted,
	effect.WorkerDraining:   logevent.WorkerDraining,
	effect.ConfigAccepted:   logevent.ConfigAccepted,
	effect.ConfigRead:       logevent.ConfigRead,
	effect.ConfigTakenOver:  logevent.ConfigTakenOver,
	effect.CallRefused:      logevent.CallRefused,
	effect.CallGivenUp:      logevent.CallGivenUp,
	effect.CallSuperseded:   logevent.CallSuperseded,
	effect.CallsHeld:        logevent.CallsHeld,
	effect.ContactLost:      logevent.ContactLost,
	effect.ContactRegained:  logevent.ContactRegained,
	effect.WaveBegun:        logevent.WaveHostChosen,
	effect.HostOrdered:      logevent.HostOrdered,
	effect.HostReleased:     logevent.HostReleased,
	effect.HostCallFailed:   logevent.HostCallFailed,
	effect.WaveHostWaits:    logevent.WaveHostWaits,

	effect.ReservationMade:      logevent.ReservationMade,
	effect.ReservationMet:       logevent.ReservationMet,
	effect.ReservationAbandoned: logevent.ReservationAbandoned,
	effect.SubmissionOutdated:   logevent.SubmissionOutdated,
	effect.LearnedRestored:      logevent.LearnedRestored,
	effect.LearnedIgnored:       logevent.LearnedIgnored,
	effect.HeartbeatIgnored:     logevent.HeartbeatIgnored,
	effect.HostEntryIgnored:     logevent.HostEntryIgnored,
}

// leadsGauge is 1 in the process of the leader, otherwise 0.
var leadsGauge = metrics.NewGauge("primrosedale_leads", nil)

// waveHostWaits counts the log events about waiting hosts of waves by their reason, which
// is one of a fixed set.
func waveHostWaits(reason string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf("primrosedale_wave_host_waits_total{reason=%q}", reason))
}

// recordsIgnored counts the records that are no evidence about workers by their kind and
// the reason, each of which is one of a fixed set.
func recordsIgnored(kind, reason string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf("primrosedale_records_ignored_total{kind=%q,reason=%q}", kind, reason))
}

// retryAfterSeconds counts the delays that the leader plans for the callers of refused jobs.
var retryAfterSeconds = metrics.NewHistogram("primrosedale_job_retry_after_seconds")

func (x *executor) emit(e effect.Log) {
	switch e.Code {
	case effect.LeaderElected:
		leadsGauge.Set(1)
	case effect.LeaderLost:
		leadsGauge.Set(0)
	case effect.WaveHostWaits:
		waveHostWaits(e.Detail).Inc()
	case effect.HeartbeatIgnored:
		recordsIgnored("heartbeat", e.Detail).Inc()
		x.ignoredHeartbeats.Emit(x.log, logevent.HeartbeatIgnored, logFields(e)...)
		return
	case effect.HostEntryIgnored:
		recordsIgnored("host", e.Detail).Add(e.Count)
	case effect.JobRefused:
		if e.Count > 0 {
			retryAfterSeconds.Update(float64(e.Count))
		}
	}
	x.log.Emit(logEventIDs[e.Code], logFields(e)...)
}

func logFields(e effect.Log) []logevent.Field {
	var fields []logevent.Field
	if e.Host != "" {
		fields = append(fields, logevent.Host(e.Host))
	}
	if e.Target != "" {
		fields = append(fields, logevent.Target(e.Target))
	}
	if e.Request != "" {
		fields = append(fields, logevent.Request(e.Request))
	}
	if e.Team != "" {
		fields = append(fields, logevent.Team(e.Team))
	}
	if e.Queue != "" {
		fields = append(fields, logevent.Queue(e.Queue))
	}
	if e.Term != 0 {
		fields = append(fields, logevent.Term(e.Term))
	}
	if e.Index != 0 {
		fields = append(fields, logevent.Index(e.Index))
	}
	if e.Worker != "" {
		fields = append(fields, logevent.Str(logevent.NameWorker, string(e.Worker)))
	}
	if e.Task != "" {
		fields = append(fields, logevent.Str(logevent.NameTask, e.Task))
	}
	if e.Count != 0 {
		fields = append(fields, logevent.Int(logevent.NameCount, int64(e.Count)))
	}
	if e.Detail != "" {
		fields = append(fields, logevent.Str(logevent.NameReason, e.Detail))
	}
	return fields
}
