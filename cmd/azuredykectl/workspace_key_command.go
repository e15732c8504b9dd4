package main

import (
	"crypto/rand"

	"github.com/spf13/cobra"

	"azuredyke.dev/azuredyke/common/keyhash"
)

// workspaceKey is a generated workspace key and its hash. Only the hash is sent to the server, in a workspace object.
type workspaceKey struct {
	Key  string `json:"key" yaml:"key"`
	Hash string `json:"hash" yaml:"hash"`
}

// newWorkspaceKeyCommand returns the command that generates a random workspace key.
func newWorkspaceKeyCommand(a *app) *cobra.Command {
	return &cobra.Command{
		Use: "key", Short: "Generates a random workspace key and prints it with its hash for the field key_hashes",
		Long: "Generates a random workspace key and prints it with its hash. The key cannot be displayed again: the configuration " +
			"stores only the hash. The command does not contact the server.",
		Args: cobra.NoArgs,
		RunE: wrapErrors(false, func(*cobra.Command, []string) error {
			key := "ak-" + rand.Text()
			k := workspaceKey{Key: key, Hash: keyhash.Of(key)}
			return a.print(k, func() table {
				return table{header: []string{"KEY", "HASH"}, rows: [][]string{{k.Key, k.Hash}}}
			})
		}),
	}
}
