package ctl

import "strings"

// exitCodesHelp ends every help text.
const exitCodesHelp = `
exit codes: 0 done, 1 no answer, 2 usage, 3 refused, 4 faults in the rules,
5 the rules or a replay differ (diff, replay), 6 outcome not known
(docs/operators/exit-codes.md)`

// example is an example command line of a subcommand.
type example struct{ command, line string }

// examples has at least one entry for each subcommand.
var examples = []example{
	{"check", "primrosedalectl check rules.toml"},
	{"diff", "primrosedalectl diff rules.toml --address 127.0.0.1:8301"},
	{"apply", "primrosedalectl apply rules.toml --address 127.0.0.1:8301,127.0.0.2:8301"},
	{"grant", "primrosedalectl key grant press-desk press --address 127.0.0.1:8301"},
	{"withdraw", "primrosedalectl key withdraw press-desk --address 127.0.0.1:8301"},
	{"status", "primrosedalectl status --address 127.0.0.1:8301,127.0.0.2:8301 --output json"},
	{"report", "primrosedalectl report --address 127.0.0.1:8301 --html burn.html"},
	{"replay", "primrosedalectl replay traces/vakoas-bursts.toml --expect traces/vakoas-bursts.outcomes.toml"},
}

// helpFooter returns the last part of a help text: the examples of the subcommands and
// the exit codes.
func helpFooter(commands ...string) string {
	text := "\nexamples:\n"
	for _, command := range commands {
		for _, e := range examples {
			if e.command == command {
				text += "  " + e.line + "\n"
			}
		}
	}
	return strings.TrimSuffix(text, "\n") + "\n" + exitCodesHelp
}
