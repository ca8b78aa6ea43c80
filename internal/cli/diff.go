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
	first, err := c.parseFile(c.Args.File)
	if err != nil {
		return err
	}
	result := diffResult{}
	if c.Args.Other == "" {
		current, err := fetchCurrentConfig(c.env)
		if err != nil {
			return err
		}
		result.Changes = config.Diff(current.cfg, first)
	} else {
		second, err := c.parseFile(c.Args.Other)
		if err != nil {
			return err
		}
		result.Changes = config.Diff(first, second)
	}
	return c.env.print(result, func(w io.Writer) { writeChanges(w, result.Changes) })
}

// parseFile reads and parses a configuration file. It returns an error for findings only if
// the file could not be parsed at all.
func (c *diffCommand) parseFile(file string) (*config.Config, error) {
	data, err := c.env.readInput(file)
	if err != nil {
		return nil, err
	}
	cfg, findings := config.Parse(file, data)
	if cfg == nil {
		return nil, badInputError("%s", findings.Error())
	}
	return cfg, nil
}
