package engine

import (
	"fmt"
	"net/http"
	"testing"
)

// Guards against a whole response without a body, of status 204 or 304, whose outcome counts as unknown
// because it states no length: its end is known from its head, also if its service ends right behind it.
func TestPlainResponseWithoutBodyIsWhole(t *testing.T) {
	for _, status := range []int{http.StatusNoContent, http.StatusNotModified} {
		for _, mediaType := range []string{"text/event-stream", "text/plain"} {
			for _, ends := range []bool{false, true} {
				t.Run(fmt.Sprintf("%d %s, ends %t", status, mediaType, ends), func(t *testing.T) {
					err := runAtPlainService(t, http.MethodGet, func(w http.ResponseWriter, end func()) {
						w.Header().Set("Content-Type", mediaType)
						if w.WriteHeader(status); ends {
							end()
						}
					})
					if err != nil {
						t.Errorf("error %v, want a complete response", err)
					}
				})
			}
		}
	}
}
