package retry

import "net/http"

// ClaimsNotRun reports whether callers take a final answer with the HTTP status for a statement that the request has not run,
// and send it again even if it must not run twice.
func ClaimsNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}
