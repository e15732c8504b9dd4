package engine

// Actions of an Order.
const (
	OrderLoad   = "load"
	OrderUnload = "unload"
	OrderRole   = "role"
)

// Order is the JSON of POST /orders.
type Order struct {
	// Action is one of the Order constants.
	Action  string `json:"action"`
	Model   string `json:"model,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version,omitempty"`
	Role    string `json:"role,omitempty"`
}

// name returns what load reports show for the order's model: the model, "model@version", "model:adapter" or
// "model@version:adapter".
func (o Order) name() string {
	name := o.Model
	if o.Version != "" {
		name += "@" + o.Version
	}
	if o.Adapter != "" {
		name += ":" + o.Adapter
	}
	return name
}

// valid reports whether the order names what it is about.
func (o Order) valid() bool {
	switch o.Action {
	case OrderLoad, OrderUnload:
		return o.Model != ""
	case OrderRole:
		return o.Role != ""
	default:
		return false
	}
}
