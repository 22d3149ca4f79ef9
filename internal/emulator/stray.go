package emulator

import (
	"io"
	"math/rand/v2"
	"strings"
	"time"
)

// strayBytes returns bytes that belong to no request, for the place behind the stream of a
// run, in pieces that are written one after the other.
func strayBytes(id, software string, run *Run) []string {
	event := func(n int) string { return RunEvent(id, n, software, run.Number) }
	head := "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nResponse-Signature: late\r\n"
	response := head + "Content-Length: 4\r\n\r\nlate"
	cut := 1 + rand.IntN(len(head)-1)
	forms := [][]string{
		noise(),
		{response[:cut], response[cut:]},
		{"\r\n" + response},
		{head + "Content-Type: text/event-stream\r\n\r\n" + event(run.Events+1) + event(run.Events+2)},
		{head + "\r\nlate"},
		{event(run.Events)},
		{strings.Replace(response, "HTTP/1.1", "HTTP/3.7", 1)},
		{strings.ToLower(response)},
	}
	return forms[rand.IntN(len(forms))]
}

// noise returns bytes that are no response, in one piece. Half of the time they end as an event.
func noise() []string {
	b := make([]byte, 1+rand.IntN(60))
	for i := range b {
		b[i] = byte(rand.IntN(256))
	}
	if rand.IntN(2) == 0 {
		b = append(b, "\n\n"...)
	}
	return []string{string(b)}
}

// writePieces writes the pieces with a pause of a few milliseconds between them. An error shows
// to the client too.
func (c *engineConn) writePieces(pieces []string) {
	for i, piece := range pieces {
		if i > 0 {
			time.Sleep(time.Duration(1+rand.IntN(6)) * time.Millisecond)
		}
		io.WriteString(c, piece)
	}
}
