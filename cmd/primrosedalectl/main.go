// Command primrosedalectl is the operators' command line.
package main

import (
	"context"
	"os"

	"primrosedale.example/primrosedale/ctl"
)

func main() {
	p := &ctl.Program{Args: os.Args[1:], Out: os.Stdout, Err: os.Stderr, Getenv: os.Getenv}
	os.Exit(p.Run(context.Background()))
}
