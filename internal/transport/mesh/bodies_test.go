package mesh

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/coordination/origin"
)

// Guards against reading the body of a request at the listener for other entries, which may be
// a form of any size.
func TestBodiesAreNotRead(t *testing.T) {
	m, _ := openMeshWithOrigins(t, Snapshot{}, func(origin.Question) (origin.Origin, bool) { return origin.Origin{}, false })
	for _, path := range []string{snapshotPath, originPath} {
		conn, err := net.Dial("tcp4", m.conn.LocalAddr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		if err := conn.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
			t.Fatal(err)
		}
		if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: h\r\nContent-Type: multipart/form-data; boundary=b\r\nContent-Length: 4194304\r\n\r\n--b\r\n", path); err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil || resp.StatusCode != http.StatusRequestEntityTooLarge {
			t.Fatalf("%s: response %v, error %v; want 413", path, resp, err)
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			t.Error(err)
		}
	}
}
