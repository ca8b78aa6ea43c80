package config

import (
	"strings"

	"github.com/daisyfold/daisyfold/internal/jsontext"
)

const referenceIntro = `# Configuration format

This page is the output of ` + "`daisyfold docs text-format`" + `, generated from the tables that the checks use.
A test fails if it is out of date.

The configuration, also called the operators' text, is one file of at most 128 KB of JSON with comments (` + "`//` and `/* */`" + `) and trailing commas.
It is one object.
Every error is reported as ` + "`file:line:column: message`" + `. After a missing comma, a missing
value or a malformed value the check continues; after any other syntax error it stops,
because the rest cannot be parsed.
`

// Reference returns the reference page of the configuration as Markdown.
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
