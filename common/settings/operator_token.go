package settings

// Roles of operators.
const (
	// RoleViewer may read.
	RoleViewer = "viewer"
	// RoleOperator may read and change.
	RoleOperator = "operator"
)

// OperatorToken is one token of the operator API, kept as a hash.
type OperatorToken struct {
	// Name is the actor in the audit trail.
	Name string `yaml:"name"`
	Role string `yaml:"role"`
	// Hash is the SHA-256 of the token in hexadecimal.
	Hash string `yaml:"hash"`
}
