package settings

// Log configures the process log.
type Log struct {
	// Level is debug, info, warn or error.
	Level string `yaml:"level"`
	// Format is json or console.
	Format string `yaml:"format"`
}
