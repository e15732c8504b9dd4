package settings

// Roles of operators.
const (
	// RoleViewer permits reads.
	RoleViewer = "viewer"
	// RoleOperator permits reads and changes.
	RoleOperator = "operator"
)

// OperatorToken is one token of the operator API, stored as a hash.
type OperatorToken struct {
	// Name is recorded as the actor in the audit trail.
	Name string `yaml:"name"`
	Role string `yaml:"role"`
	// Hash is the SHA-256 of the token in hexadecimal.
	Hash string `yaml:"hash"`
}
