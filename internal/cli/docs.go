package cli

import (
	"io"

	"github.com/daisyfold/daisyfold/internal/config"
	"github.com/daisyfold/daisyfold/internal/metrics"
	"github.com/daisyfold/daisyfold/internal/settings"
)

type docsCommand struct {
	env  *env
	Args struct {
		Page string `positional-arg-name:"text-format|settings|metrics" required:"yes"`
	} `positional-args:"yes"`
}

// docsResult is the JSON output of docs.
type docsResult struct {
	Page     string `json:"page"`
	Markdown string `json:"markdown"`
}

// Execute implements flags.Commander.
func (c *docsCommand) Execute([]string) error {
	pages := map[string]func() string{
		"text-format": config.Reference,
		"settings":    settings.Reference,
		"metrics":     metrics.Reference,
	}
	page, ok := pages[c.Args.Page]
	if !ok {
		return badInputError("unknown page %q; the pages are text-format, settings and metrics", c.Args.Page)
	}
	result := docsResult{Page: c.Args.Page, Markdown: page()}
	return c.env.print(result, func(w io.Writer) { _, _ = io.WriteString(w, result.Markdown) })
}
