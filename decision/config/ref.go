package config

// Ref names one object.
type Ref struct {
	Kind Kind
	Name string
}

// String returns kind/name.
func (r Ref) String() string { return string(r.Kind) + "/" + r.Name }
