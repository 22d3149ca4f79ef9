package netconn

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"testing"
)

// exitingServerVar makes the test binary run exitingServer.
const exitingServerVar = "NETCONN_TEST_EXITING_SERVER"

func TestMain(m *testing.M) {
	if os.Getenv(exitingServerVar) != "" {
		if err := exitingServer(); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// exitingServer prints its address and ends after it has written a response.
func exitingServer() error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	config := ListenConfig()
	ln, err := config.Listen(ctx, "tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	fmt.Println(ln.Addr())
	return Serve(ctx, &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer cancel()
		w.Header().Set("Connection", "close")
		writeAll(w, r)
	})}, ln)
}

// Guards against the exit of a process that resets a connection with unread input, and so
// discards a response that was written and not delivered yet.
func TestResponseIsDeliveredAlthoughTheProcessExits(t *testing.T) {
	server := exec.Command(os.Args[0])
	server.Env = append(os.Environ(), exitingServerVar+"=1")
	server.Stderr = os.Stderr
	out, err := server.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := server.Start(); err != nil {
		t.Fatal(err)
	}
	address, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		t.Error(err)
	}
	var conn net.Conn
	if err == nil {
		conn = dialWithBuffer(t, strings.TrimSpace(address))
		// The further requests are more than the server reads at once.
		if _, err := io.WriteString(conn, strings.Repeat(getRequest, 1000)); err != nil {
			t.Error(err)
		}
	}
	if err := server.Wait(); err != nil {
		t.Fatal(err)
	}
	readAll(t, conn)
}
