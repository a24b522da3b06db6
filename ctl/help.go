package ctl

// exitCodes ends the help of every subcommand.
const exitCodes = `
exit codes: 0 done, 1 no answer, 2 usage, 3 refused, 4 faults in the rules,
5 the rules differ (diff), 6 outcome not known
(docs/operators/exit-codes.md)`

// The examples of the subcommands.
const (
	checkExample    = "  primrosedalectl check rules.toml\n"
	diffExample     = "  primrosedalectl diff rules.toml --address 127.0.0.1:8301\n"
	applyExample    = "  primrosedalectl apply rules.toml --address 127.0.0.1:8301,127.0.0.2:8301\n"
	grantExample    = "  primrosedalectl key grant press-desk press --address 127.0.0.1:8301\n"
	withdrawExample = "  primrosedalectl key withdraw press-desk --address 127.0.0.1:8301\n"
	statusExample   = "  primrosedalectl status --address 127.0.0.1:8301,127.0.0.2:8301 --output json\n"
)

// helpEnd returns the end of a help text: examples and exit codes.
func helpEnd(examples string) string {
	return "\nexamples:\n" + examples + exitCodes
}
