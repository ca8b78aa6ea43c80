package cli

import (
	"io"

	"github.com/daisyfold/daisyfold/internal/config"
)

type diffCommand struct {
	env  *env
	Args struct {
		File  string `positional-arg-name:"FILE" required:"yes"`
		Other string `positional-arg-name:"NEWER"`
	} `positional-args:"yes"`
}

// diffResult is the JSON output of diff.
type diffResult struct {
	Changes []config.Change `json:"changes"`
}

// Execute implements flags.Commander.
func (c *diffCommand) Execute([]string) error {
	first, err := c.read(c.Args.File)
	if err != nil {
		return err
	}
	result := diffResult{}
	if c.Args.Other == "" {
		current, err := currentText(c.env)
		if err != nil {
			return err
		}
		result.Changes = config.Diff(current.text, first)
	} else {
		second, err := c.read(c.Args.Other)
		if err != nil {
			return err
		}
		result.Changes = config.Diff(first, second)
	}
	return c.env.print(result, func(w io.Writer) { writeChanges(w, result.Changes) })
}

// read reads a text. Findings do not stop a comparison unless nothing can be read.
func (c *diffCommand) read(file string) (*config.Config, error) {
	data, err := c.env.readInput(file)
	if err != nil {
		return nil, err
	}
	text, findings := config.Parse(file, data)
	if text == nil {
		return nil, badInput("%s", findings.Error())
	}
	return text, nil
}
