package experiment

// Class is one kind of completion request. The output length is drawn by the endpoint and is not known to the system.
type Class struct {
	Name string `yaml:"name"`
	// Share is the class's part of the requests, relative to the other classes.
	Share float64 `yaml:"share"`
	// PromptTokens is the mean length of a prompt.
	PromptTokens int `yaml:"prompt_tokens"`
	// SharedPrefixTokens is the length of the start that all prompts of a workspace and class have in common.
	SharedPrefixTokens int `yaml:"shared_prefix_tokens"`
	// OutputMedian, OutputSigma and OutputMax describe the log-normal output length in tokens.
	OutputMedian float64 `yaml:"output_median"`
	OutputSigma  float64 `yaml:"output_sigma"`
	OutputMax    int     `yaml:"output_max"`
	// Whole asks for an answer in one piece instead of a stream.
	Whole bool `yaml:"whole"`
}

// marker is the text in a prompt by which the stand-in of an engine finds the class.
func (c Class) marker() string { return "class:" + c.Name + ";" }
