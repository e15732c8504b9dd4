package main

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"
)

// run executes one command line and returns its exit code.
func run(ctx context.Context, args []string, in io.Reader, out, errOut io.Writer) int {
	a := &app{in: in, out: out, errOut: errOut}
	root := newRootCommand(a)
	root.SetArgs(args)
	root.SetIn(in)
	root.SetOut(out)
	root.SetErr(errOut)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return exitOK
	}
	var failed *commandError
	if !errors.As(err, &failed) {
		// Only the command line itself is wrong: every error of a command that ran is a commandError.
		fmt.Fprintln(errOut, "azuredykectl:", err)
		return exitUsage
	}
	printError(errOut, failed)
	return exitCode(failed)
}

// action turns the function of a command into one whose errors can be told from those of the command line.
func action(changes bool, f func(cmd *cobra.Command, args []string) error) func(*cobra.Command, []string) error {
	return func(cmd *cobra.Command, args []string) error {
		err := f(cmd, args)
		var wrapped *commandError
		if err == nil || errors.As(err, &wrapped) || errUsage.Has(err) {
			return err
		}
		return &commandError{err: err, changes: changes}
	}
}
