package units

// Code is the stable machine-readable code of a refusal or error.
type Code string

// Codes of refusals and errors that callers can receive.
const (
	InvalidKey       Code = "invalid_api_key"
	KeyWithdrawn     Code = "key_withdrawn"
	ModelNotFound    Code = "model_not_found"
	ServiceNotFound  Code = "service_not_found"
	InvalidRequest   Code = "invalid_request"
	BodyTooLarge     Code = "body_too_large"
	RateExceeded     Code = "rate_exceeded"
	RateUnavailable  Code = "rate_unavailable"
	QueueFull        Code = "queue_full"
	DeadlineMissed   Code = "deadline_unreachable"
	ColdLimit        Code = "cold_limit"
	NoUpstream       Code = "no_upstream"
	ModelLoading     Code = "model_loading"
	Isolated         Code = "isolated"
	Draining         Code = "draining"
	StoreUnavailable Code = "store_unavailable"
	CrashSuspect     Code = "crash_suspect"
	InProgress       Code = "in_progress"
	OutcomeUnknown   Code = "outcome_unknown"
	UpstreamFailed   Code = "upstream_failed"
	UpstreamTimeout  Code = "upstream_timeout"
	// PermitExpired and PermitStale are sent by agents to gateways, which try again
	// with a new permit.
	PermitExpired Code = "permit_expired"
	PermitStale   Code = "permit_stale"
	// NotLoaded is sent by agents to gateways: the target is not resident.
	NotLoaded Code = "not_loaded"
	// FenceStale is sent by agents to a controller whose fencing number is too old.
	FenceStale Code = "fence_stale"
	// MemoryFull is sent by agents to a controller: the load order does not fit.
	MemoryFull Code = "memory_full"
	// Quarantine is sent by agents to gateways: a suspect request is running alone.
	Quarantine Code = "quarantine_busy"
)
