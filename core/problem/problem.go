// Package problem defines the closed list of error kinds that callers, task
// submitters and operators can receive, and a table of the answer for each kind.
package problem

import (
	"fmt"

	"primrosedale.example/primrosedale/core/model"
)

// Kind identifies one kind of error. The list is closed: every value has a row in
// the table, which a test checks.
type Kind string

// The error kinds.
const (
	BadRequest            Kind = "bad_request"
	BodyTooLarge          Kind = "body_too_large"
	BodyStalled           Kind = "body_stalled"
	KeyMissing            Kind = "key_missing"
	KeyRejected           Kind = "key_rejected"
	UnknownQueue          Kind = "unknown_queue"
	UnknownTask           Kind = "unknown_task"
	UnknownTeam           Kind = "unknown_team"
	Overloaded            Kind = "overloaded"
	NoLeader              Kind = "no_leader"
	NoLease               Kind = "no_lease"
	PatienceExceeded      Kind = "patience_exceeded"
	NoTarget              Kind = "no_target"
	Stopping              Kind = "stopping"
	ConnectionClosing     Kind = "connection_closing"
	KeyReused             Kind = "idempotency_key_reused"
	InProgress            Kind = "in_progress"
	OutcomeUnknown        Kind = "outcome_unknown"
	AnswerNotRetained     Kind = "answer_not_retained"
	AnswerTooLarge        Kind = "answer_too_large"
	DeadlineExceeded      Kind = "deadline_exceeded"
	RetriesExhausted      Kind = "retries_exhausted"
	RevisionConflict      Kind = "revision_conflict"
	RulesRejected         Kind = "rules_rejected"
	UnknownKey            Kind = "unknown_key"
	CommandOutcomeUnknown Kind = "command_outcome_unknown"
	TaskRejected          Kind = "task_rejected"
	PlanRejected          Kind = "plan_rejected"
	UnknownHost           Kind = "unknown_host"
	AnnouncementInvalid   Kind = "announcement_invalid"
	UnknownJob            Kind = "unknown_job"
	UnknownWave           Kind = "unknown_wave"
	JobRejected           Kind = "job_rejected"
	QueueOverloaded       Kind = "queue_overloaded"
	NotConfigured         Kind = "not_configured"
	ConfigRejected        Kind = "configuration_rejected"
	CallKeyRejected       Kind = "key_unknown"
	CallOutcomeUnknown    Kind = "call_outcome_unknown"
	CallSuperseded        Kind = "call_superseded"
	CallAbandoned         Kind = "call_abandoned"
	Internal              Kind = "internal"
)

// Ran states whether the work of a refused request is known to have run.
type Ran string

// The values of Ran.
const (
	RanNo      Ran = "no"
	RanUnknown Ran = "unknown"
	RanYes     Ran = "yes"
)

// Row holds the answer for a kind.
type Row struct {
	Status    int    // HTTP status code
	Title     string // one line for human readers
	Retryable bool   // whether a resend of the same request can succeed
	Ran       Ran
}

var table = map[Kind]Row{
	BadRequest:            {400, "the request is malformed", false, RanNo},
	BodyTooLarge:          {413, "the request body is over the limit", false, RanNo},
	BodyStalled:           {503, "the request body did not arrive in time", true, RanNo},
	KeyMissing:            {401, "this queue needs a key", false, RanNo},
	KeyRejected:           {403, "the key is unknown or has been withdrawn", false, RanNo},
	UnknownQueue:          {404, "there is no such queue", false, RanNo},
	UnknownTask:           {404, "there is no such task", false, RanNo},
	UnknownTeam:           {404, "there is no such team", false, RanNo},
	Overloaded:            {503, "this host holds too many requests", true, RanNo},
	NoLeader:              {503, "no leader is known to this host", true, RanNo},
	NoLease:               {503, "this host holds no serving lease", true, RanNo},
	PatienceExceeded:      {503, "the request cannot start within its patience", true, RanNo},
	NoTarget:              {503, "no target offers this service", true, RanNo},
	Stopping:              {503, "this host is stopping", true, RanNo},
	ConnectionClosing:     {408, "this host is stopping and has read no request on this connection", true, RanNo},
	KeyReused:             {422, "the idempotency key was used with another request", false, RanNo},
	InProgress:            {409, "an earlier request with this idempotency key is still running", true, RanUnknown},
	OutcomeUnknown:        {502, "the request may have run and its outcome is not known", false, RanUnknown},
	AnswerNotRetained:     {409, "the request ran and its answer is no longer kept", false, RanYes},
	AnswerTooLarge:        {502, "the target's answer is over the limit", false, RanYes},
	DeadlineExceeded:      {504, "the request did not finish within its run time", false, RanUnknown},
	RetriesExhausted:      {502, "every attempt failed", true, RanUnknown},
	RevisionConflict:      {409, "another configuration was accepted on the same base revision", false, RanNo},
	RulesRejected:         {422, "the rules are not valid", false, RanNo},
	UnknownKey:            {404, "there is no such key", false, RanNo},
	CommandOutcomeUnknown: {504, "the command was submitted and its outcome is not known", true, RanUnknown},
	TaskRejected:          {422, "the task cannot be accepted", false, RanNo},
	PlanRejected:          {409, "the plan does not fit the current state", false, RanNo},
	UnknownHost:           {404, "there is no such host", false, RanNo},
	AnnouncementInvalid:   {400, "the announcement is malformed", false, RanNo},
	UnknownJob:            {410, "there is no such job", false, RanNo},
	UnknownWave:           {404, "there is no such maintenance wave", false, RanNo},
	JobRejected:           {422, "the job can never run", false, RanNo},
	QueueOverloaded:       {429, "the queue cannot finish the job in time", true, RanNo},
	NotConfigured:         {503, "no configuration is in force", true, RanNo},
	ConfigRejected:        {400, "the configuration is not valid", false, RanNo},
	CallKeyRejected:       {401, "the key is missing, unknown or withdrawn", false, RanNo},
	CallOutcomeUnknown:    {504, "the call was passed on and its outcome is not known", true, RanUnknown},
	CallSuperseded:        {503, "a later order was recorded while the call was waiting", true, RanUnknown},
	CallAbandoned:         {503, "the caller closed its connection before the call was passed on", true, RanNo},
	Internal:              {500, "internal error", false, RanUnknown},
}

// Lookup returns the row of k, or the row of Internal if k is unknown.
func Lookup(k Kind) Row {
	if row, ok := table[k]; ok {
		return row
	}
	return table[Internal]
}

// Kinds returns the number of kinds in the table.
func Kinds() int { return len(table) }

// Problem is one error that is returned instead of an answer.
type Problem struct {
	Kind       Kind           `json:"kind"`
	Detail     string         `json:"detail,omitempty"`
	RetryAfter model.Duration `json:"retry_after,omitempty"` // zero leaves the choice to the gateway
	// RetryExact is set if RetryAfter already spreads the callers, so that the answer
	// must not add a random delay.
	RetryExact bool `json:"retry_exact,omitempty"`
}

// New returns a Problem of kind k with a formatted detail.
func New(k Kind, format string, args ...any) *Problem {
	return &Problem{Kind: k, Detail: fmt.Sprintf(format, args...)}
}

// Error implements the error interface.
func (p *Problem) Error() string { return string(p.Kind) + ": " + p.Detail }
