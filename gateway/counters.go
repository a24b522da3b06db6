package gateway

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"primrosedale.example/primrosedale/core/event"
	"primrosedale.example/primrosedale/core/message"
	"primrosedale.example/primrosedale/core/problem"
)

var (
	answeredTotal  = metrics.NewCounter("primrosedale_gateway_answered_total")
	abandonedTotal = metrics.NewCounter("primrosedale_gateway_abandoned_total")

	attemptsAnswered   = metrics.NewCounter(`primrosedale_gateway_attempts_total{outcome="answered"}`)
	attemptsNotStarted = metrics.NewCounter(`primrosedale_gateway_attempts_total{outcome="not_started"}`)
	attemptsUnknown    = metrics.NewCounter(`primrosedale_gateway_attempts_total{outcome="unknown"}`)
)

func countAnswered()  { answeredTotal.Inc() }
func countAbandoned() { abandonedTotal.Inc() }

func countRefused(kind problem.Kind) {
	name := fmt.Sprintf("primrosedale_gateway_refused_total{kind=%q}", string(kind))
	metrics.GetOrCreateCounter(name).Inc()
}

func countAttempt(e event.ForwardEnded) {
	switch e.Outcome {
	case message.OutcomeAnswered:
		attemptsAnswered.Inc()
	case message.OutcomeNotStarted:
		attemptsNotStarted.Inc()
	default:
		attemptsUnknown.Inc()
	}
}
