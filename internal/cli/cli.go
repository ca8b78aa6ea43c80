// Package cli implements the command-line tool daisyfold, with one file per command.
package cli

import (
	"errors"
	"io"

	"github.com/jessevdk/go-flags"
)

const longDescription = `Submits jobs and requests, and publishes the operators' configuration.

Exit codes: 0 success; 1 failure; 2 bad input, nothing was done; 3 the outcome
is unknown, repeat with the same id; 4 not run, and it will not run later.

Every command accepts --output json. A command that creates something accepts
--id and prints the id, so that it can be repeated without a second effect.`

// globalOptions are the options of every command.
type globalOptions struct {
	Addresses []string `long:"address" value-name:"URL" env:"DAISYFOLD_ADDRESS" env-delim:"," description:"Daemon to call; repeat the option to add daemons that are tried if this one refuses the connection or is leaving"`
	Key       string   `long:"key" value-name:"KEY" env:"DAISYFOLD_KEY" default-mask:"-" description:"Bearer key of the organisation or operator"`
	CAFile    string   `long:"ca-file" value-name:"FILE" env:"DAISYFOLD_CA_FILE" description:"PEM file with the certificates of the authorities that sign the daemons' certificates"`
	Output    string   `long:"output" choice:"text" choice:"json" default:"text" description:"Output format"`
}

// env holds the global options and the standard streams of a command.
type env struct {
	globalOptions
	stdin  io.Reader
	stdout io.Writer
	stderr io.Writer
}

// Run runs the tool with args, which do not include the program name, and returns the exit
// code.
func Run(args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	e := &env{stdin: stdin, stdout: stdout, stderr: stderr}
	parser, err := newParser(e)
	if err == nil {
		_, err = parser.ParseArgs(args)
	}
	return e.reportError(err)
}

// commandSpec describes a command and its subcommands. The fields short and long are its
// help texts.
type commandSpec struct {
	name, short, long string
	command           any
	subcommands       []commandSpec
}

func newParser(e *env) (*flags.Parser, error) {
	parser := flags.NewNamedParser("daisyfold", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = longDescription
	if _, err := parser.AddGroup("Common options", "", &e.globalOptions); err != nil {
		return nil, err
	}
	return parser, addCommands(parser.Command, rootCommands(e))
}

func addCommands(parent *flags.Command, specs []commandSpec) error {
	for _, spec := range specs {
		command, err := parent.AddCommand(spec.name, spec.short, spec.long, spec.command)
		if err != nil {
			return err
		}
		if err := addCommands(command, spec.subcommands); err != nil {
			return err
		}
	}
	return nil
}

func rootCommands(e *env) []commandSpec {
	return []commandSpec{
		{name: "check", short: "Check configurations or settings", command: &checkCommand{env: e},
			long: "Checks files and prints every finding as file:line:column: message. Exits with 2 if there are findings."},
		{name: "apply", short: "Publish a configuration", command: &applyCommand{env: e},
			long: "Checks a configuration and publishes it as an edit of the version in force."},
		{name: "diff", short: "Compare configurations", command: &diffCommand{env: e},
			long: "Compares a configuration with the one in force, or two configurations with each other."},
		{name: "zone", short: "Take zones out of service", command: &struct{}{}, subcommands: zoneCommands(e),
			long: "Takes an availability zone out of service or back in."},
		{name: "status", short: "Show the deployment", command: &statusCommand{env: e},
			long: "Shows the state of the deployment as known to the called host."},
		{name: "events", short: "Show the events of a host", command: &eventsCommand{env: e},
			long: "Shows the actions that the called host took on its own, with their reasons, oldest first."},
		{name: "job", short: "Submit and monitor jobs", command: &struct{}{}, subcommands: jobCommands(e),
			long: "Submits and monitors jobs."},
		{name: "request", short: "Send a request to a service", command: &requestCommand{env: e},
			long: "Sends a request to a service and prints the target's response. Exits with 1 if the target responds with an error status."},
		{name: "docs", short: "Print a reference page", command: &docsCommand{env: e},
			long: "Prints a reference page in Markdown, generated from the tables that the checks use."},
		{name: "version", short: "Print the version", command: &versionCommand{env: e},
			long: "Prints the version of the tool."},
	}
}

// reportError prints err, unless it is nil or already printed, and returns the exit code.
func (e *env) reportError(err error) int {
	var flagsErr *flags.Error
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp:
		_, _ = io.WriteString(e.stdout, flagsErr.Message+"\n")
		return exitOK
	default:
		commandErr := toCommandError(err)
		e.printError(commandErr)
		return commandErr.exitCode
	}
}
