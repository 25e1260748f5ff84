package searcher

import (
	"io"
	"net/http"
	"slices"
	"strings"
	"time"
)

// EndlessKinds are the ways in which a server sends bytes that are no answer, until the caller
// closes the connection. Each begins with a text and repeats another one.
var EndlessKinds = []string{"status", "blank", "line", "lines", "interim", "body", "length", "chunks", "extensions", "trailers", "slow"}

// endlessTexts holds the two texts of each kind.
var endlessTexts = map[string][2]string{
	"status":     {"HTTP/1.1 200 ", "O"},
	"blank":      {"", "\r\n"},
	"line":       {"HTTP/1.1 200 OK\r\nX: ", "x"},
	"lines":      {"HTTP/1.1 200 OK\r\n", "a:b\r\n"},
	"interim":    {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
	"body":       {"HTTP/1.1 200 OK\r\n\r\n", "[1],"},
	"length":     {"HTTP/1.1 200 OK\r\nContent-Length: 900000000000\r\n\r\n", "[1],"},
	"chunks":     {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\n1\r\n"},
	"extensions": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"},
	"trailers":   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "a: b\r\n"},
	"slow":       {"HTTP/1.1 200 OK\r\n\r\n", "[1],"},
}

// slowPause is the pause between two blocks of the kind "slow".
const slowPause = 5 * time.Millisecond

// SendEndless sends bytes of a kind until the caller closes the connection.
func SendEndless(w http.ResponseWriter, kind string) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	texts := endlessTexts[kind]
	if _, err := io.WriteString(c, texts[0]); err != nil {
		return
	}
	block := []byte(strings.Repeat(texts[1], 16<<10/len(texts[1])))
	for {
		if _, err := c.Write(block); err != nil {
			return
		}
		if kind == "slow" {
			time.Sleep(slowPause)
		}
	}
}

// isEndless reports whether there is a kind with the name.
func isEndless(kind string) bool { return slices.Contains(EndlessKinds, kind) }
