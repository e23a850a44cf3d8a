package proxy_test

import (
	"bufio"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/lab/proxy"
)

// echoServer starts a server that sends each received line back and also passes it to a channel.
func echoServer(t *testing.T) (address string, lines chan string) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { listener.Close() })
	lines = make(chan string, 100)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				scanner := bufio.NewScanner(c)
				for scanner.Scan() {
					lines <- scanner.Text()
					if _, err := c.Write(append(scanner.Bytes(), '\n')); err != nil {
						return
					}
				}
			}()
		}
	}()
	return listener.Addr().String(), lines
}

func dial(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	c, err := net.Dial("tcp", address)
	is.New(t).NoErr(err)
	t.Cleanup(func() { c.Close() })
	return c, bufio.NewReader(c)
}

// TestOpenConnectionsDropData guards against connections that recover from DropOpenConnections when
// the mode changes again, and against effects on new connections.
func TestOpenConnectionsDropData(t *testing.T) {
	is := is.New(t)
	server, lines := echoServer(t)
	p, end, err := proxy.New(server)
	is.NoErr(err)
	defer end()
	old, oldAnswers := dial(t, p.Address)
	_, err = old.Write([]byte("first\n"))
	is.NoErr(err)
	_, err = oldAnswers.ReadString('\n')
	is.NoErr(err)
	is.Equal(<-lines, "first")

	p.SetMode(proxy.DropOpenConnections)
	fresh, answers := dial(t, p.Address)
	p.SetMode(proxy.Forward)
	_, err = old.Write([]byte("dropped\n"))
	is.NoErr(err)
	_, err = fresh.Write([]byte("forwarded\n"))
	is.NoErr(err)
	answer, err := answers.ReadString('\n')
	is.NoErr(err)
	is.Equal(answer, "forwarded\n")
	is.Equal(<-lines, "forwarded")
	is.NoErr(old.SetReadDeadline(time.Now().Add(100 * time.Millisecond)))
	_, err = oldAnswers.ReadString('\n')
	is.True(err != nil)
	is.Equal(len(lines), 0)
}

func TestProxyModes(t *testing.T) {
	is := is.New(t)
	server, lines := echoServer(t)
	p, end, err := proxy.New(server)
	is.NoErr(err)
	defer end()

	c, answers := dial(t, p.Address)
	exchange := func(text string) (string, error) {
		_, err := c.Write([]byte(text + "\n"))
		is.NoErr(err)
		return answers.ReadString('\n')
	}
	for _, mode := range []proxy.Mode{proxy.Forward, proxy.Delay} {
		p.SetMode(mode)
		answer, err := exchange(string(mode))
		is.NoErr(err)
		is.Equal(answer, string(mode)+"\n")
		is.Equal(<-lines, string(mode))
	}

	p.SetMode(proxy.DropFromServer)
	_, err = c.Write([]byte("request\n"))
	is.NoErr(err)
	is.Equal(<-lines, "request") // the server received the line; its answer is dropped

	p.SetMode(proxy.DropAll)
	_, err = c.Write([]byte("dropped\n"))
	is.NoErr(err)
	is.NoErr(c.SetReadDeadline(time.Now().Add(100 * time.Millisecond)))
	_, err = answers.ReadString('\n')
	is.True(err != nil) // the client received neither answer
	is.Equal(len(lines), 0)

	is.NoErr(c.SetReadDeadline(time.Time{}))
	p.SetMode(proxy.Reset)
	_, err = answers.ReadString('\n')
	is.True(err != nil) // the open connection is reset

	p.SetMode(proxy.Forward)
	c, answers = dial(t, p.Address)
	answer, err := exchange("again")
	is.NoErr(err)
	is.Equal(answer, "again\n")
}
