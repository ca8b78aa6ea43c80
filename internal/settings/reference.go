package settings

import (
	"strings"

	"github.com/daisyfold/daisyfold/internal/jsontext"
)

const referenceIntro = `# Settings of a daemon

This page is the output of ` + "`daisyfold docs settings`" + `, generated from the tables that the checks use.
A test fails if it is out of date.

The settings are JSON with comments (` + "`//` and `/* */`" + `) and trailing commas, in one object.
` + "`daisyfold check --settings FILE`" + ` reports all findings at once; ` + "`daisyfoldd`" + ` runs the same
checks when it starts and exits with code 2 if there are findings.
`

// Reference returns the reference page of the settings as Markdown.
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
