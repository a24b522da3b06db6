package ctl

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/juju/errors"

	"primrosedale.example/primrosedale/core/view"
)

// status shows the status of the leader, or else of the first host that answered.
func (p *Program) status(ctx context.Context) error {
	c, err := p.client()
	if err != nil {
		return err
	}
	var status *view.Status
	_ = p.withProgress("the hosts to answer", func() error {
		status = preferLeader(c.StatusFromEach(ctx))
		return nil
	})
	if status == nil {
		return errors.New("no host answered")
	}
	if p.output == outputJSON {
		p.writeJSON(status)
		return nil
	}
	p.writeStatus(status)
	return nil
}

// preferLeader returns the status of the leader if it answered, else the first one.
func preferLeader(list []*view.Status) *view.Status {
	var first *view.Status
	for _, s := range list {
		if s == nil {
			continue
		}
		if s.Host == s.Leader {
			return s
		}
		if first == nil {
			first = s
		}
	}
	return first
}

func (p *Program) writeStatus(s *view.Status) {
	fmt.Fprintf(p.Out, "host %s (%s), %s of term %d, leader %s\n", s.Host, s.DataCentre, s.Role, s.Term, orNone(string(s.Leader)))
	fmt.Fprintf(p.Out, "rules revision %d%s, applied index %d, %d requests held here\n", s.Revision, inForce(s), s.Applied, s.Held)
	if len(s.Out) > 0 {
		fmt.Fprintf(p.Out, "data centres out of service: %v\n", s.Out)
	}
	if s.Leader == "" {
		fmt.Fprintln(p.Out, "No leader is known to this host: without one, no work starts and no change is accepted.")
		return
	}
	if s.Host != s.Leader {
		fmt.Fprintln(p.Out, "Only the leader knows the rest; add its address to --address.")
		return
	}
	w := tabwriter.NewWriter(p.Out, 0, 8, 2, ' ', 0)
	writeHosts(w, s)
	writeTargets(w, s)
	writeTeams(w, s)
	writePools(w, s)
	_ = w.Flush()
}

func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}

func inForce(s *view.Status) string {
	if s.Host != s.Leader {
		return ""
	}
	if s.InForce {
		return " in force everywhere"
	}
	return " not yet in force everywhere"
}

func writeHosts(w io.Writer, s *view.Status) {
	fmt.Fprintln(w, "\nENTRY HOST\tSERVING\tAPPLIED\tLEAVING")
	for _, h := range s.Hosts {
		fmt.Fprintf(w, "%s\t%t\t%d\t%t\n", h.Host, h.Serving, h.Applied, h.Leaving)
	}
}

func writeTargets(w io.Writer, s *view.Status) {
	fmt.Fprintln(w, "\nTARGET\tSERVICE\tDATA CENTRE\tSTATE\tRUNNING\tSLOTS")
	for _, t := range s.Targets {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\n", t.Target, t.Service, t.DataCentre, t.State, t.Running, t.Slots)
	}
}

func writeTeams(w io.Writer, s *view.Status) {
	fmt.Fprintln(w, "\nTEAM\tSHARE %\tLIMIT\tREQUESTS\tTASKS")
	for _, t := range s.Teams {
		fmt.Fprintf(w, "%s\t%.0f\t%d\t%d\t%d\n", t.Team, t.Share, t.Limit, t.Requests, t.Tasks)
	}
	fmt.Fprintln(w, "\nQUEUE\tWAITING\tMEAN RUN TIME (s)")
	for _, q := range s.Queues {
		fmt.Fprintf(w, "%s\t%d\t%.3f\n", q.Queue, q.Waiting, q.RunTime.Seconds())
	}
}

func writePools(w io.Writer, s *view.Status) {
	if len(s.Pools) == 0 {
		return
	}
	fmt.Fprintln(w, "\nPOOL\tHOSTS\tUNAVAILABLE\tBUDGET")
	for _, p := range s.Pools {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\n", p.Pool, p.Hosts, p.Unavailable, p.Budget)
	}
}
