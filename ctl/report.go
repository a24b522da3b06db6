package ctl

import (
	"bytes"
	"context"
	"fmt"
	"os"

	"github.com/juju/errors"

	"primrosedale.example/primrosedale/core/burn"
	"primrosedale.example/primrosedale/report"
)

const pageMode = 0o644

// burnReport writes the burn report and, if page is set, an HTML page to that path.
func (p *Program) burnReport(ctx context.Context, page string) error {
	c, err := p.client()
	if err != nil {
		return err
	}
	var r *burn.Report
	err = p.withProgress("the report", func() (err error) {
		r, err = c.Report(ctx)
		return err
	})
	if err != nil {
		return err
	}
	if page != "" {
		var html bytes.Buffer
		if err := report.HTML(&html, r); err != nil {
			return errors.Annotate(err, "making the page")
		}
		if err := os.WriteFile(page, html.Bytes(), pageMode); err != nil {
			return &exitError{ExitUsage, errors.Annotate(err, "writing the page")}
		}
	}
	if p.output == outputJSON {
		p.writeJSON(r)
		return nil
	}
	if err := report.Table(p.Out, r); err != nil {
		return errors.Annotate(err, "writing the report")
	}
	if page != "" {
		fmt.Fprintf(p.Out, "\nThe page is in %s.\n", page)
	}
	return nil
}
