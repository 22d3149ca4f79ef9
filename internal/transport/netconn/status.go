package netconn

import (
	"errors"
	"fmt"
	"net/http"
)

// ErrUnknownStatus is returned for a response whose status is not one of HTTP. Such a response is no
// answer, and nothing on its connection can be trusted.
var ErrUnknownStatus = errors.New("response with an unknown status")

// maxStatus is the highest status that HTTP knows (RFC 9110, section 15).
const maxStatus = 599

// CheckStatus returns an error if a status is none that a final response may have. HTTP libraries parse
// any number.
func CheckStatus(status int) error {
	if status < http.StatusOK || status > maxStatus {
		return fmt.Errorf("%w: %d", ErrUnknownStatus, status)
	}
	return nil
}

// IsInterim reports whether a status is that of an interim response, which a final one follows. Behind 101
// the connection has another protocol.
func IsInterim(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}
