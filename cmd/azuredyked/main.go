// Command azuredyked is the azuredyke daemon.
package main

import (
	"context"
	"fmt"
	"os"

	"azuredyke.dev/azuredyke/common/signals"
)

func main() {
	ctx, stop := signals.StopContext(context.Background())
	defer stop()
	if err := newRootCommand().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "azuredyked:", err)
		os.Exit(1)
	}
}
