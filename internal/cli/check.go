package cli

import (
	"fmt"
	"io"

	"github.com/daisyfold/daisyfold/internal/config"
	"github.com/daisyfold/daisyfold/internal/finding"
	"github.com/daisyfold/daisyfold/internal/settings"
)

type checkCommand struct {
	env      *env
	Settings bool `long:"settings" description:"The files are settings of daemons, not configurations"`
	Args     struct {
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"yes"`
}

// checkResult is the JSON output of check.
type checkResult struct {
	Findings finding.List `json:"findings"`
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	result := checkResult{Findings: finding.List{}}
	for _, file := range c.Args.Files {
		result.Findings = append(result.Findings, c.check(file)...)
	}
	err := c.env.print(result, func(w io.Writer) { c.write(w, result.Findings) })
	if err == nil && len(result.Findings) > 0 {
		err = &commandError{exitCode: exitBadInput, printed: true}
	}
	return err
}

func (c *checkCommand) check(file string) finding.List {
	if c.Settings {
		_, findings := settings.Load(file)
		return findings
	}
	data, err := c.env.readInput(file)
	if err != nil {
		return finding.List{{File: file, Message: err.Error()}}
	}
	_, findings := config.Parse(file, data)
	return findings
}

func (c *checkCommand) write(w io.Writer, findings finding.List) {
	for _, f := range findings {
		_, _ = fmt.Fprintln(w, f)
	}
	if len(findings) == 0 {
		writeLine(w, "no findings")
	}
}
