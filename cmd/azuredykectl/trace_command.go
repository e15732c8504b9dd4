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

// newTraceCommand returns the command that shows what the logs say of a request.
func newTraceCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "trace REQUEST [FILE...]",
		Short: "Shows what the logs of nodes say of a request, and the line that decided it",
		Long:  "Reads log files, or standard input, of any number of nodes. The request is the X-Request-Id of a client attempt.",
		Args:  cobra.MinimumNArgs(1),
		RunE:  func(cmd *cobra.Command, args []string) error { return trace(cmd, args[0], args[1:]) },
	}
}

func trace(cmd *cobra.Command, request string, paths []string) error {
	logs := []io.Reader{cmd.InOrStdin()}
	if len(paths) > 0 {
		logs = nil
	}
	for _, path := range paths {
		file, err := os.Open(path)
		if err != nil {
			return err
		}
		defer func() { _ = file.Close() }()
		logs = append(logs, file)
	}
	lines, err := logging.Trace(request, logs...)
	if err != nil {
		return err
	}
	if len(lines) == 0 {
		return fmt.Errorf("no line about request %s", request)
	}
	for _, l := range lines {
		mark := " "
		if l.Decides() {
			mark = "*"
		}
		cmd.Printf("%s %s  %s %s\n", mark, l.Time, l.Message, describeFields(l.Fields))
	}
	return nil
}

// describeFields lists the fields of a line by name.
func describeFields(fields map[string]any) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		parts = append(parts, fmt.Sprintf("%s=%v", name, fields[name]))
	}
	return strings.Join(parts, " ")
}
