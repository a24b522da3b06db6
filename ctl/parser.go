package ctl

import (
	"context"

	"github.com/integrii/flaggy"

	"primrosedale.example/primrosedale/core/model"
)

// parser returns the command-line parser and the actions of its subcommands.
func (p *Program) parser() (*flaggy.Parser, []action) {
	parser := flaggy.NewParser("primrosedalectl")
	parser.Description = "Operates a primrosedale system."
	p.addOptions(parser)
	check := fileCommand("check", "read a rules file and list every fault; asks no host",
		func(_ context.Context, file string) error { return p.check(file) })
	diff := fileCommand("diff", "compare a rules file with the rules in force; exit code 5 if they differ", p.diff)
	apply := fileCommand("apply", "put a rules file in force; its revision must follow the one in force", p.apply)
	key := subcommand("key", "grant or withdraw a team's key")
	grant, withdraw := p.grantCommand(), p.withdrawCommand()
	status := action{subcommand("status", "show hosts, targets, teams, queues and pools"), p.status}
	report, replays := p.reportCommand(), p.replayCommand()

	key.AttachSubcommand(grant.command, 1)
	key.AttachSubcommand(withdraw.command, 1)
	key.AdditionalHelpAppend = helpFooter(grant.command.Name, withdraw.command.Name)
	var names []string
	for _, c := range []*flaggy.Subcommand{
		check.command, diff.command, apply.command, key, status.command, report.command, replays.command,
	} {
		parser.AttachSubcommand(c, 1)
		names = append(names, c.Name)
	}
	parser.AdditionalHelpAppend = helpFooter(append(names, grant.command.Name, withdraw.command.Name)...)
	return parser, []action{check, diff, apply, grant, withdraw, status, replays, report}
}

// addOptions adds the options that all subcommands share.
func (p *Program) addOptions(parser *flaggy.Parser) {
	p.output = outputTable
	parser.String(&p.address, "a", "address", "operator addresses, IP:port, separated by commas (default: $"+AddressVariable+")")
	parser.String(&p.output, "o", "output", "table or json")
	parser.String(&p.certificate, "", "certificate", "client certificate, PEM, where the system uses mutual TLS")
	parser.String(&p.key, "", "key", "key of the client certificate, PEM")
	parser.String(&p.authority, "", "authority", "certificate authority of the system, PEM")
}

// fileCommand returns a subcommand whose argument is a rules file.
func fileCommand(name, description string, run func(ctx context.Context, file string) error) action {
	var file string
	c := subcommand(name, description)
	c.AddPositionalValue(&file, "FILE", 1, true, "rules file")
	return action{c, func(ctx context.Context) error { return run(ctx, file) }}
}

func (p *Program) grantCommand() action {
	var name, team string
	c := subcommand("grant", "make a key for a team; it is shown once")
	c.AddPositionalValue(&name, "NAME", 1, true, "name of the key, unique")
	c.AddPositionalValue(&team, "TEAM", 2, true, "team that the key stands for")
	return action{c, func(ctx context.Context) error { return p.grant(ctx, name, model.TeamID(team)) }}
}

func (p *Program) withdrawCommand() action {
	var name string
	c := subcommand("withdraw", "end a key; every host refuses it within seconds")
	c.AddPositionalValue(&name, "NAME", 1, true, "name of the key")
	return action{c, func(ctx context.Context) error { return p.withdraw(ctx, name) }}
}

func (p *Program) reportCommand() action {
	var page string
	c := subcommand("report", "show how much of each objective's error budget is spent, and on what")
	c.String(&page, "", "html", "also write the report to this file as one HTML page")
	return action{c, func(ctx context.Context) error { return p.burnReport(ctx, page) }}
}

func (p *Program) replayCommand() action {
	var o replayOptions
	c := subcommand("replay", "replay a journal, a trace or trace settings; exit code 5 if it differs or leaves the bounds")
	c.AddPositionalValue(&o.file, "FILE", 1, true, "journal, trace or trace settings")
	c.String(&o.expect, "e", "expect", "outcomes file with bounds")
	c.String(&o.policy, "", "policy", "of teams: shares (default), static, lent or units; of hosts: sized (default), minimum or first-fit")
	c.String(&o.plots, "", "plots", "folder for plots")
	c.UInt64(&o.seed, "", "seed", "seed of trace settings, in place of their own")
	c.String(&o.record, "", "record", "write the inputs of the trace's replay to this journal")
	c.String(&o.write, "", "write", "write the trace to this file and do not replay it")
	return action{c, func(context.Context) error { return p.replay(o) }}
}

func subcommand(name, description string) *flaggy.Subcommand {
	c := flaggy.NewSubcommand(name)
	c.Description = description
	c.AdditionalHelpAppend = helpFooter(name)
	return c
}
