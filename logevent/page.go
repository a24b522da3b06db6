package logevent

import (
	"fmt"
	"strings"
)

const pageHeader = `# Log events

Every log line is one of the events below. It carries the event's number as
` + "`id`" + ` and its name as ` + "`event`" + `. Numbers and names do not change between releases;
gaps in the numbers leave room for later events. Keys and request bodies are
never logged: a key is named by ` + "`key_name`" + ` only.

This page is generated from the catalogue in ` + "`logevent`" + `; rewrite it with
` + "`go test ./logevent -update`" + `.
`

// Markdown returns the page docs/log-events.md.
func Markdown() string {
	var page strings.Builder
	page.WriteString(pageHeader)
	for _, a := range areas {
		fmt.Fprintf(&page, "\n## %s\n\n", a.title)
		page.WriteString("| id | event | level | message | what to do |\n")
		page.WriteString("|---|---|---|---|---|\n")
		for _, e := range a.entries {
			fmt.Fprintf(&page, "| %d | `%s` | %s | %s | %s |\n", e.ID, e.Name, e.Level, e.Message, e.Action)
		}
	}
	return page.String()
}
