package config

// Ref identifies one object.
type Ref struct {
	Kind Kind
	Name string
}

// String returns the reference in the form kind/name.
func (r Ref) String() string { return string(r.Kind) + "/" + r.Name }
