package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"
)

// serverArgument makes the program a server in a process of its own.
const serverArgument = "unframed-server"

// An unframed answer has lineCount lines, one each lineInterval.
const (
	lineCount    = 20
	lineInterval = 25 * time.Millisecond
	killInterval = 2 * time.Second
	killTime     = 10 * time.Second
	unframedDown = 500 * time.Millisecond
)

// lastLine is the last line of a whole answer.
var lastLine = fmt.Sprintf("line %d of %d\n", lineCount, lineCount)

// serveUnframed answers requests on an address, with neither a length nor chunks, until the
// process ends.
func serveUnframed(id, address string) int {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	for {
		conn, err := listener.Accept()
		if err != nil {
			return exitFailed
		}
		go answerUnframed(id, conn)
	}
}

// answerUnframed answers the request on a connection and closes it.
func answerUnframed(id string, conn net.Conn) {
	defer func() { _ = conn.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	if r.URL.Path == "/healthz" {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Cactusbay-Instance-Id: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", id)
		return
	}
	attempt := r.Header.Get("X-Cactusbay-Attempt-Id")
	fmt.Printf("server %s runs %s %s\n", id, attempt, r.URL.Path)
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Cactusbay-Attempt-Id: %s\r\nX-Cactusbay-Server-Stamp: %s.%s\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n", attempt, id, attempt)
	for number := 1; number <= lineCount; number++ {
		time.Sleep(lineInterval)
		_, err = fmt.Fprintf(conn, "line %d of %d\n", number, lineCount)
		if err != nil {
			return
		}
	}
}

// startUnframed starts a server in a process of its own.
func (f *fleet) startUnframed(id, address string) error {
	executable, err := os.Executable()
	if err != nil {
		return err
	}
	command := exec.Command(executable, serverArgument, id, address)
	output, err := command.StdoutPipe()
	if err != nil {
		return err
	}
	err = command.Start()
	if err != nil {
		return err
	}
	c := &child{process: command.Process, done: make(chan struct{})}
	f.processes[id] = c
	go func() {
		lines := bufio.NewScanner(output)
		for lines.Scan() {
			f.note("%s", lines.Text())
		}
		_ = command.Wait()
		close(c.done)
	}()
	return nil
}

// runUnframed kills servers while they answer without a length.
func runUnframed(f *fleet, trouble bool) (bool, error) {
	addresses := make(map[string]string)
	ids := []string{"i-svc-x-1", "i-svc-x-2", "i-svc-x-3", "i-svc-x-4"}
	for _, id := range ids {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return false, err
		}
		addresses[id] = listener.Addr().String()
		_ = listener.Close()
		err = f.startUnframed(id, addresses[id])
		if err != nil {
			return false, err
		}
		f.platform.set(listed{ID: id, Service: "svc-x", Address: addresses[id], Zone: zone, Version: "v1", Slots: slots, State: "ready", Born: time.Now().UnixMilli()})
	}
	err := f.start(1, configurationJSON(1, routeJSON("r-1", host, "/order/", "non_idempotent", "svc-x", false, 2500)))
	if err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var mu sync.Mutex
	counts := make(map[string]int)
	for client := range 12 {
		clients.Go(func() {
			httpClient := &http.Client{Transport: &http.Transport{}}
			for number := 0; ; number++ {
				select {
				case <-stop:
					return
				case <-time.After(30 * time.Millisecond):
				}
				id := fmt.Sprintf("u%d-%d", client+1, number)
				a := f.send(httpClient, 0, request{method: http.MethodPost, host: host, path: "/order/1", id: id, deadline: 2500 * time.Millisecond})
				kind := judgeUnframed(a)
				f.note("client: %s: %d, %d lines, stamp %s: %s %v", id, a.status, strings.Count(a.body, "\n"), a.stamp, kind, a.err)
				mu.Lock()
				counts[kind]++
				mu.Unlock()
			}
		})
	}
	end := time.Now().Add(killTime)
	for number := 0; time.Now().Before(end); number++ {
		time.Sleep(killInterval)
		if !trouble {
			continue
		}
		id := ids[number%len(ids)]
		f.log("server %s is killed", id)
		_ = f.processes[id].process.Signal(syscall.SIGKILL)
		<-f.processes[id].done
		time.Sleep(unframedDown)
		err = f.startUnframed(id, addresses[id])
		if err != nil {
			return false, err
		}
	}
	close(stop)
	clients.Wait()
	f.log("answers: %v", counts)
	if counts["whole"] == 0 {
		return false, errors.New("no answer was whole")
	}
	return counts["cut, but complete to the client"] == 0, nil
}

// judgeUnframed tells how an answer ended.
func judgeUnframed(a answer) string {
	switch {
	case a.status != http.StatusOK:
		return fmt.Sprintf("status %d", a.status)
	case a.err != nil:
		return "cut"
	case strings.HasSuffix(a.body, lastLine):
		return "whole"
	default:
		return "cut, but complete to the client"
	}
}
