package settings

import (
	"strings"

	"github.com/daisyfold/daisyfold/internal/jsontext"
)

const referenceIntro = `# Settings of a daemon

This page is printed by ` + "`daisyfold docs settings`" + ` from the tables that the checks use.
A test fails when it is not current.

The settings are JSON with comments (` + "`//` and `/* */`" + `) and trailing commas, in one object.
` + "`daisyfold check --settings FILE`" + ` checks them as a whole; ` + "`daisyfoldd`" + ` does the same when
it starts and exits with 2 after any finding.
`

// Reference returns the reference page of the settings in Markdown.
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
