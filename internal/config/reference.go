package config

import (
	"strings"

	"github.com/daisyfold/daisyfold/internal/jsontext"
)

const referenceIntro = `# The operators' text

This page is printed by ` + "`daisyfold docs text-format`" + ` from the tables that the checks use.
A test fails when it is not current.

The text is at most 128 KB of JSON with comments (` + "`//` and `/* */`" + `) and trailing commas.
It is one object.
Every fault is reported as ` + "`file:line:column: message`" + `. After a missing comma, a missing
value or a malformed value the check goes on; after any other syntax error it stops,
because nothing behind it can be read.
`

// Reference returns the reference page of the text in Markdown.
func Reference() string {
	var b strings.Builder
	b.WriteString(referenceIntro)
	b.WriteString(jsontext.Reference("Fields", "", Schema))
	b.WriteString("\n## Rules between fields\n\n")
	for _, r := range rules {
		b.WriteString("- " + r.doc + "\n")
	}
	return b.String()
}
