package verdict

// Reason is a stable, machine-readable cause of a refusal or failure.
type Reason string

// Reasons, which are part of error bodies and metric labels.
const (
	ReasonInvalid         Reason = "invalid_request"
	ReasonUnknownPath     Reason = "unknown_path"
	ReasonWrongMethod     Reason = "wrong_method"
	ReasonUnauthorized    Reason = "unauthorized"
	ReasonUnknownModel    Reason = "unknown_model"
	ReasonUnknownService  Reason = "unknown_service"
	ReasonTooLarge        Reason = "request_too_large"
	ReasonBusy            Reason = "busy"
	ReasonQueueTimeout    Reason = "queue_timeout"
	ReasonNoEndpoint      Reason = "no_endpoint"
	ReasonNoOwner         Reason = "no_cell_owner"
	ReasonLimit           Reason = "workspace_limit"
	ReasonStopping        Reason = "stopping"
	ReasonQuarantined     Reason = "quarantined"
	ReasonClaimConflict   Reason = "idempotency_key_reused"
	ReasonClaimInProgress Reason = "idempotency_key_in_use"
	ReasonClaimExpired    Reason = "idempotency_key_expired"
	ReasonClaimRefused    Reason = "claim_unavailable"
	ReasonKeyRequired     Reason = "idempotency_key_required"
	ReasonUnreachable     Reason = "endpoint_unreachable"
	ReasonMisdirected     Reason = "address_reused"
	ReasonNoConfiguration Reason = "no_configuration"
	ReasonStale           Reason = "configuration_too_old"
	ReasonTimeout         Reason = "timeout"
	ReasonEndpointFailed  Reason = "endpoint_failed"
	ReasonIncomplete      Reason = "incomplete_answer"
	ReasonCancelled       Reason = "cancelled"
	ReasonUnavailable     Reason = "unavailable"
)
