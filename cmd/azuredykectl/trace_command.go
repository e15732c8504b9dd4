package main

import (
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"azuredyke.dev/azuredyke/common/logging"
)

// newTraceCommand returns the command that prints the log lines of one request.
func newTraceCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "trace REQUEST [FILE...]",
		Short: "Prints the log lines of a request from the logs of nodes and marks the line that ended it",
		Long:  "Reads the log files of any number of nodes, or standard input. REQUEST is the X-Request-Id of an attempt by the client.",
		Args:  cobra.MinimumNArgs(1),
		RunE:  func(cmd *cobra.Command, args []string) error { return trace(cmd, args[0], args[1:]) },
	}
}

func trace(cmd *cobra.Command, request string, paths []string) error {
	readers := []io.Reader{cmd.InOrStdin()}
	if len(paths) > 0 {
		readers = nil
	}
	for _, path := range paths {
		file, err := os.Open(path)
		if err != nil {
			return err
		}
		defer func() { _ = file.Close() }()
		readers = append(readers, file)
	}
	lines, err := logging.Trace(request, readers...)
	if err != nil {
		return err
	}
	if len(lines) == 0 {
		return fmt.Errorf("the logs contain no line about request %s", request)
	}
	for _, l := range lines {
		marker := " "
		if l.EndsRequest() {
			marker = "*"
		}
		cmd.Printf("%s %s  %s %s\n", marker, l.Time, l.Message, formatFields(l.Fields))
	}
	return nil
}

// formatFields formats the fields of a log line, sorted by name.
func formatFields(fields map[string]any) string {
	var formatted []string
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		formatted = append(formatted, fmt.Sprintf("%s=%v", name, fields[name]))
	}
	return strings.Join(formatted, " ")
}
