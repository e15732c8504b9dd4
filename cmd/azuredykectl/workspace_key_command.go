package main

import (
	"crypto/rand"

	"github.com/spf13/cobra"

	"azuredyke.dev/azuredyke/common/keyhash"
)

// workspaceKey is a new key of a workspace. Only the hash is ever sent to the server.
type workspaceKey struct {
	Key  string `json:"key" yaml:"key"`
	Hash string `json:"hash" yaml:"hash"`
}

// newWorkspaceKeyCommand returns the command that makes a random workspace key.
func newWorkspaceKeyCommand(a *app) *cobra.Command {
	return &cobra.Command{
		Use: "key", Short: "Makes a random workspace key and prints it with its hash, for the field key_hashes",
		Long: "Makes a random workspace key and prints it with its hash. The key is shown this once; the configuration holds " +
			"only the hash. No call is made.",
		Args: cobra.NoArgs,
		RunE: action(false, func(*cobra.Command, []string) error {
			key := "ak-" + rand.Text()
			k := workspaceKey{Key: key, Hash: keyhash.Of(key)}
			return a.print(k, func() table {
				return table{header: []string{"KEY", "HASH"}, rows: [][]string{{k.Key, k.Hash}}}
			})
		}),
	}
}
