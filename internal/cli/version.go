package cli

import (
	"io"
	"runtime/debug"
)

type versionCommand struct{ env *env }

// versionResult is the JSON output of version.
type versionResult struct {
	Version  string `json:"version"`
	Revision string `json:"revision"`
	Go       string `json:"go"`
}

// Execute implements flags.Commander.
func (c *versionCommand) Execute([]string) error {
	result := buildVersion()
	return c.env.print(result, func(w io.Writer) {
		writeLine(w, "daisyfold %s %s %s", result.Version, result.Revision, result.Go)
	})
}

// buildVersion returns the version information that the Go toolchain embedded in the binary.
func buildVersion() versionResult {
	result := versionResult{Version: "unknown"}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return result
	}
	result.Version = info.Main.Version
	result.Go = info.GoVersion
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			result.Revision = s.Value
		}
	}
	return result
}
