package ctl

import (
	"context"

	"github.com/integrii/flaggy"

	"primrosedale.example/primrosedale/core/model"
)

// parser describes the command line.
func (p *Program) parser() (*flaggy.Parser, []action) {
	parser := flaggy.NewParser("primrosedalectl")
	parser.Description = "Operates a primrosedale system."
	p.output = outputTable
	parser.String(&p.address, "a", "address", "operator addresses, IP:port, separated by commas (default: $"+AddressVariable+")")
	parser.String(&p.output, "o", "output", "table or json")
	parser.String(&p.certificate, "", "certificate", "client certificate, PEM, where the system uses mutual TLS")
	parser.String(&p.key, "", "key", "key of the client certificate, PEM")
	parser.String(&p.authority, "", "authority", "certificate authority of the system, PEM")

	var file, name, team, page string
	check := subcommand("check", "read a rules file and list every fault; asks no host")
	check.AddPositionalValue(&file, "FILE", 1, true, "rules file")
	diff := subcommand("diff", "compare a rules file with the rules in force; exit code 5 if they differ")
	diff.AddPositionalValue(&file, "FILE", 1, true, "rules file")
	apply := subcommand("apply", "put a rules file in force; its revision must follow the one in force")
	apply.AddPositionalValue(&file, "FILE", 1, true, "rules file")
	status := subcommand("status", "show hosts, targets, teams, queues and pools")
	var o replayOptions
	replays := subcommand("replay", "replay a journal, a trace or trace settings; exit code 5 if it differs or leaves the bounds")
	replays.AddPositionalValue(&o.file, "FILE", 1, true, "journal, trace or trace settings")
	replays.String(&o.expect, "e", "expect", "outcomes file with bounds")
	replays.String(&o.policy, "", "policy", "shares (default), static, lent or units")
	replays.String(&o.plots, "", "plots", "folder for plots")
	replays.UInt64(&o.seed, "", "seed", "seed of trace settings, in place of their own")
	replays.String(&o.record, "", "record", "write the inputs of the trace's replay to this journal")
	replays.String(&o.write, "", "write", "write the trace to this file and do not replay it")
	report := subcommand("report", "show how much of each objective's error budget is spent, and on what")
	report.String(&page, "", "html", "also write the report to this file as one HTML page")
	key := subcommand("key", "grant or withdraw a team's key")
	grant := subcommand("grant", "make a key for a team; it is shown once")
	grant.AddPositionalValue(&name, "NAME", 1, true, "name of the key, unique")
	grant.AddPositionalValue(&team, "TEAM", 2, true, "team that the key stands for")
	withdraw := subcommand("withdraw", "end a key; every host refuses it within seconds")
	withdraw.AddPositionalValue(&name, "NAME", 1, true, "name of the key")
	key.AttachSubcommand(grant, 1)
	key.AttachSubcommand(withdraw, 1)
	var names []string
	for _, c := range []*flaggy.Subcommand{check, diff, apply, key, status, report, replays} {
		parser.AttachSubcommand(c, 1)
		names = append(names, c.Name)
	}
	parser.AdditionalHelpAppend = helpEnd(append(names, grant.Name, withdraw.Name)...)
	key.AdditionalHelpAppend = helpEnd(grant.Name, withdraw.Name)
	return parser, []action{
		{check, func(context.Context) error { return p.check(file) }},
		{diff, func(ctx context.Context) error { return p.diff(ctx, file) }},
		{apply, func(ctx context.Context) error { return p.apply(ctx, file) }},
		{grant, func(ctx context.Context) error { return p.grant(ctx, name, model.TeamID(team)) }},
		{withdraw, func(ctx context.Context) error { return p.withdraw(ctx, name) }},
		{status, p.status},
		{replays, func(context.Context) error { return p.replay(o) }},
		{report, func(ctx context.Context) error { return p.burnReport(ctx, page) }},
	}
}

func subcommand(name, description string) *flaggy.Subcommand {
	c := flaggy.NewSubcommand(name)
	c.Description = description
	c.AdditionalHelpAppend = helpEnd(name)
	return c
}
