package experiment

// Class is a class of completion requests. The endpoint draws the output length at random, so nodes have no information
// about it.
type Class struct {
	Name string `yaml:"name"`
	// Share is the weight of the class among all classes when requests are drawn.
	Share float64 `yaml:"share"`
	// PromptTokens is the mean prompt length.
	PromptTokens int `yaml:"prompt_tokens"`
	// SharedPrefixTokens is the length of the prefix that all prompts of a workspace and class share.
	SharedPrefixTokens int `yaml:"shared_prefix_tokens"`
	// OutputMedian, OutputSigma and OutputMax are the parameters of the log-normal output length, in tokens.
	OutputMedian float64 `yaml:"output_median"`
	OutputSigma  float64 `yaml:"output_sigma"`
	OutputMax    int     `yaml:"output_max"`
	// NonStreaming requests the whole response in one body instead of an event stream.
	NonStreaming bool `yaml:"whole"`
}

// marker returns the text in a prompt from which the fake engine determines the class.
func (c Class) marker() string { return "class:" + c.Name + ";" }
