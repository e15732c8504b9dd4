package engine

// Values of Order.Action.
const (
	OrderLoad   = "load"
	OrderUnload = "unload"
	OrderRole   = "role"
)

// Order is the JSON of POST /orders.
type Order struct {
	// Action is OrderLoad, OrderUnload or OrderRole.
	Action  string `json:"action"`
	Model   string `json:"model,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version,omitempty"`
	Role    string `json:"role,omitempty"`
}

// modelName returns the name of the order's model in load reports: "model", "model@version", "model:adapter" or
// "model@version:adapter".
func (o Order) modelName() string {
	name := o.Model
	if o.Version != "" {
		name += "@" + o.Version
	}
	if o.Adapter != "" {
		name += ":" + o.Adapter
	}
	return name
}

// valid reports whether the action is one of the constants and the field that it needs is set.
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
