// Package cli implements the verbs of the command-line tool, one file for each.
package cli

import (
	"errors"
	"io"

	"github.com/jessevdk/go-flags"
)

const description = `Submits jobs and requests, and publishes the operators' text.

Exit codes: 0 ok; 1 failed; 2 bad input, nothing was done; 3 the outcome is
unknown, repeat with the same id; 4 not run and never will be.

Every verb takes --output json. A verb that creates something takes --id and
prints the id, so that a repetition with it does nothing twice.`

// globals are the options of every verb.
type globals struct {
	Addresses []string `long:"address" value-name:"URL" env:"DAISYFOLD_ADDRESS" env-delim:"," description:"Daemon to call; repeat it to name others that are tried when it refuses the connection or is leaving"`
	Key       string   `long:"key" value-name:"KEY" env:"DAISYFOLD_KEY" default-mask:"-" description:"Bearer key of the organisation or operator"`
	CAFile    string   `long:"ca-file" value-name:"FILE" env:"DAISYFOLD_CA_FILE" description:"PEM file of the authorities that sign the daemons' certificates"`
	Output    string   `long:"output" choice:"text" choice:"json" default:"text" description:"Form of the output"`
}

// env is what the verbs work with.
type env struct {
	globals
	stdin  io.Reader
	stdout io.Writer
	stderr io.Writer
}

// Run runs the tool with args, which do not include the program's name, and returns
// the exit code.
func Run(args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	e := &env{stdin: stdin, stdout: stdout, stderr: stderr}
	parser, err := newParser(e)
	if err == nil {
		_, err = parser.ParseArgs(args)
	}
	return e.finish(err)
}

// verb is one entry of the command line.
type verb struct {
	name, short, long string
	command           any
	verbs             []verb
}

func newParser(e *env) (*flags.Parser, error) {
	parser := flags.NewNamedParser("daisyfold", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = description
	if _, err := parser.AddGroup("Common options", "", &e.globals); err != nil {
		return nil, err
	}
	return parser, addVerbs(parser.Command, verbs(e))
}

func addVerbs(to *flags.Command, all []verb) error {
	for _, v := range all {
		command, err := to.AddCommand(v.name, v.short, v.long, v.command)
		if err != nil {
			return err
		}
		if err := addVerbs(command, v.verbs); err != nil {
			return err
		}
	}
	return nil
}

func verbs(e *env) []verb {
	return []verb{
		{name: "check", short: "Check a text or settings", command: &checkCommand{env: e},
			long: "Checks files and prints every finding as file:line:column: message. Exits with 2 if there are any."},
		{name: "apply", short: "Publish a text", command: &applyCommand{env: e},
			long: "Checks a text and publishes it as an edit of the version in force."},
		{name: "diff", short: "Compare texts", command: &diffCommand{env: e},
			long: "Compares a text with the one in force, or two texts with each other."},
		{name: "zone", short: "Take zones out of service", command: &struct{}{}, verbs: zoneVerbs(e),
			long: "Takes an availability zone out of service or back in."},
		{name: "status", short: "Show the deployment", command: &statusCommand{env: e},
			long: "Shows the deployment as the called host sees it."},
		{name: "events", short: "Show what a host did", command: &eventsCommand{env: e},
			long: "Shows what the called host did by itself, and why, oldest first."},
		{name: "job", short: "Submit and follow jobs", command: &struct{}{}, verbs: jobVerbs(e),
			long: "Submits and follows jobs."},
		{name: "request", short: "Send a request to a service", command: &requestCommand{env: e},
			long: "Sends a request to a service and prints the target's answer. Exits with 1 if the target answers with an error status."},
		{name: "docs", short: "Print a reference page", command: &docsCommand{env: e},
			long: "Prints a reference page in Markdown, from the tables that the checks use."},
		{name: "version", short: "Print the version", command: &versionCommand{env: e},
			long: "Prints the version of the tool."},
	}
}

// finish prints an error and returns the exit code.
func (e *env) finish(err error) int {
	var help *flags.Error
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &help) && help.Type == flags.ErrHelp:
		_, _ = io.WriteString(e.stdout, help.Message+"\n")
		return exitOK
	default:
		f := asFailure(err)
		e.printFailure(f)
		return f.exit
	}
}
