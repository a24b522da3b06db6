package ctl

import (
	"context"
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/juju/errors"

	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/operator"
	"primrosedale.example/primrosedale/operator/client"
	"primrosedale.example/primrosedale/rulesfile"
)

// readRules reads and checks a rules file.
func readRules(path string) (*rulesfile.File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, &exitError{ExitUsage, errors.Annotate(err, "reading the rules file")}
	}
	file, err := rulesfile.Parse(path, text)
	if err != nil {
		return nil, err
	}
	if faults := file.Rules.Check(); len(faults) > 0 {
		return nil, file.Locate(faults)
	}
	return file, nil
}

// rulesAndClient reads a rules file and returns it with a client of the system.
func (p *Program) rulesAndClient(path string) (*rulesfile.File, *client.Client, error) {
	file, err := readRules(path)
	if err != nil {
		return nil, nil, err
	}
	c, err := p.client()
	return file, c, err
}

type checkResult struct {
	Revision uint64       `json:"revision"`
	Hash     model.Digest `json:"hash"`
	Rules    int          `json:"rules"`
}

func (p *Program) check(path string) error {
	file, err := readRules(path)
	if err != nil {
		return err
	}
	result := checkResult{file.Rules.Revision, file.Hash, len(file.Lines)}
	p.write(result, "%s: revision %d, %d rules, no faults\n", path, result.Revision, result.Rules)
	return nil
}

type diffResult struct {
	InForce uint64             `json:"in_force"`
	File    uint64             `json:"file"`
	Changes []rulesfile.Change `json:"changes"`
}

func (p *Program) diff(ctx context.Context, path string) error {
	file, c, err := p.rulesAndClient(path)
	if err != nil {
		return err
	}
	var current *operator.RulesAnswer
	err = p.withProgress("the rules in force", func() (err error) {
		current, err = c.Rules(ctx)
		return err
	})
	if err != nil {
		return err
	}
	d := diffResult{current.Revision, file.Rules.Revision, rulesfile.Diff(current.Rules, file.Rules)}
	p.writeDiff(d)
	if len(d.Changes) > 0 {
		return &exitError{ExitDifferent, errors.Errorf("%d rules differ", len(d.Changes))}
	}
	return nil
}

func (p *Program) writeDiff(d diffResult) {
	if p.output == outputJSON {
		p.writeJSON(d)
		return
	}
	fmt.Fprintf(p.Out, "in force: revision %d, file: revision %d\n", d.InForce, d.File)
	if len(d.Changes) == 0 {
		fmt.Fprintln(p.Out, "no rules differ")
		return
	}
	w := tabwriter.NewWriter(p.Out, 0, 8, 2, ' ', 0)
	for _, c := range d.Changes {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", c.Op, c.Rule, c.From, c.To)
	}
	_ = w.Flush()
}

func (p *Program) apply(ctx context.Context, path string) error {
	file, c, err := p.rulesAndClient(path)
	if err != nil {
		return err
	}
	var answer *operator.ChangeAnswer
	waiting := fmt.Sprintf("a majority to accept revision %d", file.Rules.Revision)
	err = p.sendChange(waiting, applyAdvice, func() (err error) {
		answer, err = c.Apply(ctx, file)
		return err
	})
	if err != nil {
		return err
	}
	p.write(answer.Result, "revision %d is accepted (hash %.12s)\n", answer.Result.Revision, file.Hash)
	return nil
}

// Advice to the operator after a change whose outcome is unknown.
const (
	applyAdvice    = "Run the same command again: an accepted file is accepted once."
	grantAdvice    = "The key may exist and was not shown: withdraw it, then grant a new one."
	withdrawAdvice = "Run the same command again: withdrawing a key twice does no harm."
)

// sendChange sends a change and, if its outcome is unknown, prints the advice.
func (p *Program) sendChange(waitingFor, advice string, send func() error) error {
	err := markOutcomeUnknown(p.withProgress(waitingFor, send))
	if err != nil && exitCode(err) == ExitOutcomeUnknown && p.output == outputTable {
		fmt.Fprintln(p.Err, advice)
	}
	return err
}

// markOutcomeUnknown sets the exit code ExitOutcomeUnknown on an error after which the
// change may have been made. A refusal states its own outcome and is returned as it is.
func markOutcomeUnknown(err error) error {
	var refusal *client.Refusal
	if err == nil || errors.As(err, &refusal) || !client.MayBeApplied(err) {
		return err
	}
	return &exitError{ExitOutcomeUnknown, err}
}

type grantResult struct {
	Name string       `json:"name"`
	Team model.TeamID `json:"team"`
	Key  string       `json:"key"`
}

func (p *Program) grant(ctx context.Context, name string, team model.TeamID) error {
	c, err := p.client()
	if err != nil {
		return err
	}
	var key string
	err = p.sendChange("a majority to accept the key", grantAdvice, func() (err error) {
		key, err = c.GrantKey(ctx, name, team)
		return err
	})
	if err != nil {
		return err
	}
	if p.output == outputJSON {
		p.writeJSON(grantResult{name, team, key})
		return nil
	}
	fmt.Fprintf(p.Out, "%s\n", key)
	fmt.Fprintf(p.Err, "This is the only time that key %q of team %s is shown.\n", name, team)
	return nil
}

func (p *Program) withdraw(ctx context.Context, name string) error {
	c, err := p.client()
	if err != nil {
		return err
	}
	err = p.sendChange("a majority to accept the end of the key", withdrawAdvice, func() error { return c.WithdrawKey(ctx, name) })
	if err != nil {
		return err
	}
	p.write(map[string]string{"withdrawn": name}, "key %q is withdrawn\n", name)
	return nil
}
