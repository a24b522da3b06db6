package ctl

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/juju/errors"

	"primrosedale.example/primrosedale/core/dispatch"
	"primrosedale.example/primrosedale/core/maintenance"
	"primrosedale.example/primrosedale/recording"
	"primrosedale.example/primrosedale/replay"
	"primrosedale.example/primrosedale/replay/tracegen"
)

// replayOptions are the options of the subcommand replay.
type replayOptions struct {
	file   string
	expect string
	policy string
	plots  string
	write  string
	record string
	seed   uint64
}

// replay replays a journal, a trace, or the trace generated from a settings file.
func (p *Program) replay(o replayOptions) error {
	file, err := os.Open(o.file)
	if err != nil {
		return &exitError{ExitUsage, errors.Annotate(err, "opening the file to replay")}
	}
	defer file.Close()
	reader := bufio.NewReader(file)
	head, err := reader.Peek(16)
	if err != nil && err != io.EOF {
		return errors.Annotate(err, "reading the file to replay")
	}
	switch {
	case recording.IsJournal(head):
		return p.replayJournal(reader)
	case replay.IsTrace(head):
		trace, err := replay.Read(reader)
		if err != nil {
			return &exitError{ExitFaults, err}
		}
		return p.replayTrace(trace, o)
	case strings.HasSuffix(o.file, ".toml"):
		trace, err := tracegen.Load(o.file, o.seed)
		if err != nil {
			return &exitError{ExitFaults, err}
		}
		return p.replayTrace(trace, o)
	default:
		return &exitError{ExitUsage, errors.Errorf("%s is neither a journal nor a trace nor trace settings", o.file)}
	}
}

func (p *Program) replayJournal(in io.Reader) error {
	report, err := recording.Verify(in)
	if err != nil {
		return &exitError{ExitFaults, err}
	}
	if p.output == outputJSON {
		p.writeJSON(report)
	} else {
		fmt.Fprintf(p.Out, "%d runs, %d inputs, %d effects, %d states, %d cut ends\n",
			report.Runs, report.Inputs, report.Effects, report.States, report.TruncatedRuns)
	}
	if report.FirstDifference != nil {
		return &exitError{ExitDifferent, errors.Errorf("the replay differs at %s\n%s", report.FirstDifference, report.FirstDifference.Content)}
	}
	return nil
}

// replayResult is the JSON output of a replayed trace.
type replayResult struct {
	*replay.Result
	Verdicts []replay.Verdict `json:"verdicts,omitempty"`
}

func (p *Program) replayTrace(trace *replay.Trace, o replayOptions) error {
	if o.write != "" {
		return writeTrace(trace, o.write)
	}
	options, err := policyOptions(o)
	if err != nil {
		return err
	}
	result, err := replay.Run(trace, options)
	if err != nil {
		return &exitError{ExitFaults, err}
	}
	outcomes := &replay.Outcomes{}
	if o.expect != "" {
		if outcomes, err = readOutcomes(o.expect); err != nil {
			return err
		}
	}
	verdicts, err := outcomes.Check(result)
	if err != nil {
		return &exitError{ExitFaults, err}
	}
	if o.plots != "" {
		if err := replay.Plot(result, o.plots); err != nil {
			return err
		}
	}
	if p.output == outputJSON {
		p.writeJSON(replayResult{result, verdicts})
	} else {
		p.writeResult(result, verdicts)
	}
	return failedVerdicts(verdicts)
}

// policyOptions returns the options of a replay. The policy may be one for requests
// or one for hosts.
func policyOptions(o replayOptions) (replay.Options, error) {
	options := replay.Options{Record: o.record}
	requests, hosts := dispatch.PolicyName(o.policy), maintenance.PolicyName(o.policy)
	switch {
	case o.policy == "":
	case slices.Contains(dispatch.Policies(), requests):
		options.Policy = requests
	case slices.Contains(maintenance.Policies(), hosts):
		options.HostPolicy = hosts
	default:
		return options, &exitError{ExitUsage, errors.Errorf("--policy is %q, allowed are %v and %v",
			o.policy, dispatch.Policies(), maintenance.Policies())}
	}
	return options, nil
}

func readOutcomes(path string) (*replay.Outcomes, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, &exitError{ExitUsage, errors.Annotate(err, "reading the outcomes")}
	}
	outcomes, err := replay.ParseOutcomes(text)
	if err != nil {
		return nil, &exitError{ExitFaults, err}
	}
	return outcomes, nil
}

func writeTrace(trace *replay.Trace, path string) error {
	var buffer bytes.Buffer
	if err := trace.Write(&buffer); err != nil {
		return err
	}
	return errors.Annotate(os.WriteFile(path, buffer.Bytes(), 0o644), "writing the trace")
}

func failedVerdicts(list []replay.Verdict) error {
	var failed []string
	for _, v := range list {
		if !v.OK {
			failed = append(failed, v.Name)
		}
	}
	if len(failed) == 0 {
		return nil
	}
	return &exitError{ExitDifferent, errors.Errorf("outside the bounds: %s", strings.Join(failed, ", "))}
}

func (p *Program) writeResult(r *replay.Result, verdicts []replay.Verdict) {
	allowed := make(map[string]replay.Verdict)
	for _, v := range verdicts {
		allowed[v.Name] = v
	}
	fmt.Fprintf(p.Out, "%s, seed %d, policy %s, hosts %s: %d requests, %d inputs\n\n", r.Trace, r.Seed, r.Policy, r.HostPolicy, r.Requests, r.Inputs)
	w := tabwriter.NewWriter(p.Out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "MEASURE\tVALUE\tALLOWED\t")
	for _, m := range r.Measures {
		value := fmt.Sprintf("%.4f", m.Value)
		if m.NotMeasured != "" {
			value = "not measured: " + m.NotMeasured
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", m.Name, value, allowed[m.Name].Allowed, outsideMark(allowed, m.Name))
	}
	fmt.Fprintln(w, "\nINVARIANT\tVIOLATIONS\tALLOWED\t")
	for _, c := range r.Invariants {
		fmt.Fprintf(w, "%s\t%d\t%s\t%s\n", c.Name, c.Count, allowed[c.Name].Allowed, outsideMark(allowed, c.Name))
	}
	fmt.Fprintln(w, "\nREFUSED AS\tREQUESTS")
	for _, kind := range r.RefusalKinds() {
		fmt.Fprintf(w, "%s\t%d\n", kind, r.Refusals[kind])
	}
	_ = w.Flush()
}

// outsideMark returns the mark of a value outside its bounds.
func outsideMark(verdicts map[string]replay.Verdict, name string) string {
	if v, ok := verdicts[name]; ok && !v.OK {
		return "OUTSIDE"
	}
	return ""
}
