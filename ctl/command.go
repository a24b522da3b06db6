// Package ctl implements the operators' command line, primrosedalectl.
package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/integrii/flaggy"
	"github.com/juju/errors"

	"primrosedale.example/primrosedale/operator/client"
	"primrosedale.example/primrosedale/rulesfile"
)

// Exit codes, described in docs/operators/exit-codes.md.
const (
	ExitOK             = 0
	ExitFailed         = 1 // no host answered, or its answer could not be read
	ExitUsage          = 2 // the command line is wrong
	ExitRefused        = 3 // the system refused the change
	ExitFaults         = 4 // the rules file has faults
	ExitDifferent      = 5 // diff found differences
	ExitOutcomeUnknown = 6 // the change was sent and its outcome is unknown
)

const (
	outputTable = "table"
	outputJSON  = "json"
)

// AddressVariable is the environment variable that holds the default of --address.
const AddressVariable = "PRIMROSEDALE_ADDRESS"

// Program is one invocation of the command-line program.
type Program struct {
	Args   []string // without the program's name
	Out    io.Writer
	Err    io.Writer
	Getenv func(string) string

	address     string
	output      string
	certificate string
	key         string
	authority   string
}

// exitError is an error with its exit code.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }

// action is a subcommand and the function that executes it.
type action struct {
	command *flaggy.Subcommand
	run     func(context.Context) error
}

// Run parses and executes the command line and returns the exit code.
func (p *Program) Run(ctx context.Context) int {
	parser, actions := p.parser()
	if err := parser.ParseArgs(p.Args); err != nil {
		fmt.Fprintln(p.Err, err)
		return ExitUsage
	}
	if p.output != outputTable && p.output != outputJSON {
		fmt.Fprintf(p.Err, "--output is %q, allowed are %s and %s\n", p.output, outputTable, outputJSON)
		return ExitUsage
	}
	for _, a := range actions {
		if a.command.Used {
			return p.reportError(a.run(ctx))
		}
	}
	parser.ShowHelp()
	return ExitUsage
}

// reportError writes an error and returns its exit code.
func (p *Program) reportError(err error) int {
	if err == nil {
		return ExitOK
	}
	code := exitCode(err)
	switch {
	case p.output == outputJSON && code == ExitDifferent:
		// The differences were written already; JSON output is one document only.
	case p.output == outputJSON:
		p.writeJSON(map[string]any{"error": errorJSON(err), "exit_code": code})
	default:
		fmt.Fprintln(p.Err, err)
	}
	return code
}

func exitCode(err error) int {
	var e *exitError
	var refusal *client.Refusal
	var faults rulesfile.Errors
	switch {
	case errors.As(err, &e):
		return e.code
	case errors.As(err, &faults):
		return ExitFaults
	case errors.As(err, &refusal) && refusal.Ran == "unknown":
		return ExitOutcomeUnknown
	case errors.As(err, &refusal):
		return ExitRefused
	default:
		return ExitFailed
	}
}

// errorJSON returns the value that represents an error in JSON output.
func errorJSON(err error) any {
	var refusal *client.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	var faults rulesfile.Errors
	if errors.As(err, &faults) {
		return faultsJSON(faults)
	}
	return err.Error()
}

// fault is the JSON form of one fault in a rules file.
type fault struct {
	File    string `json:"file"`
	Line    int    `json:"line"`
	Key     string `json:"key"`
	Found   string `json:"found"`
	Allowed string `json:"allowed"`
}

func faultsJSON(list rulesfile.Errors) []fault {
	var out []fault
	for _, f := range list {
		out = append(out, fault{File: f.File, Line: f.Line, Key: f.Key, Found: f.Found, Allowed: f.Allowed})
	}
	return out
}

// client returns a client for the addresses of the command line or environment.
func (p *Program) client() (*client.Client, error) {
	address := p.address
	if address == "" {
		address = p.Getenv(AddressVariable)
	}
	if address == "" {
		return nil, &exitError{ExitUsage, errors.Errorf("give --address or set %s to the operator addresses (IP:port, separated by commas)", AddressVariable)}
	}
	tlsConfig, err := client.LoadTLS(p.certificate, p.key, p.authority)
	if err != nil {
		return nil, &exitError{ExitUsage, err}
	}
	return client.New(strings.Split(address, ","), tlsConfig), nil
}

// write writes v in JSON mode, else the text of format and args.
func (p *Program) write(v any, format string, args ...any) {
	if p.output == outputJSON {
		p.writeJSON(v)
		return
	}
	fmt.Fprintf(p.Out, format, args...)
}

func (p *Program) writeJSON(v any) {
	encoder := json.NewEncoder(p.Out)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(v)
}
