package main

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"
)

// run executes one command line and returns the exit code.
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
	var commandErr *commandError
	if !errors.As(err, &commandErr) {
		// All other errors are usage errors: wrapErrors turns the errors of a command that ran into commandErrors.
		fmt.Fprintln(errOut, "azuredykectl:", err)
		return exitUsage
	}
	printError(errOut, commandErr)
	return exitCode(commandErr)
}

// wrapErrors returns a function that runs f and wraps errors other than usage errors in a commandError, so that run can
// distinguish them from errors in the command line.
func wrapErrors(isChange bool, f func(cmd *cobra.Command, args []string) error) func(*cobra.Command, []string) error {
	return func(cmd *cobra.Command, args []string) error {
		err := f(cmd, args)
		var wrapped *commandError
		if err == nil || errors.As(err, &wrapped) || errUsage.Has(err) {
			return err
		}
		return &commandError{err: err, isChange: isChange}
	}
}
