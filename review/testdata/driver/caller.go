package main

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// call is one request of a requester.
type call struct {
	id     string
	host   string
	method string
	path   string
	key    string
	millis int
	// prompt and output are the token counts, zero for plain services.
	prompt, output int
	// shared is the ID of the part that the prompt shares with others, "aa" if it is empty.
	shared string
	// resumes and lastEvent are set to take up a stream.
	resumes   string
	lastEvent int
	body      string
}

// answer is what the requester got.
type answer struct {
	sentAt time.Time
	at     time.Time
	status int
	signed bool
	body   string
	header http.Header
	// err is set if the channel ended without a complete answer.
	err error
}

func (an answer) String() string {
	if an.err != nil && an.status == 0 {
		return fmt.Sprintf("no answer after %.3f s: %s", an.at.Sub(an.sentAt).Seconds(), an.err)
	}
	if an.err != nil {
		return fmt.Sprintf("status %d, cut off after %.3f s: %s", an.status, an.at.Sub(an.sentAt).Seconds(), an.err)
	}
	return fmt.Sprintf("status %d, signed %t, %d bytes after %.3f s", an.status, an.signed, len(an.body), an.at.Sub(an.sentAt).Seconds())
}

// channel is a kept connection of a requester.
type channel struct {
	net    net.Conn
	reader *bufio.Reader
}

func open(address string) (*channel, error) {
	nc, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{net: nc, reader: bufio.NewReader(nc)}, nil
}

func (ch *channel) close() { _ = ch.net.Close() }

func (ca call) encode() []byte {
	var sb strings.Builder
	method := ca.method
	if method == "" {
		method = http.MethodPost
	}
	fmt.Fprintf(&sb, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nX-Api-Key: %s\r\n", method, ca.path, ca.host, ca.id, ca.millis, ca.key)
	if ca.prompt > 0 {
		fmt.Fprintf(&sb, "Model: m\r\nToken-Count: %d,%d\r\nPrefix-Hash: %s:%d,%x:%d\r\n", ca.prompt, ca.output, cmp.Or(ca.shared, "aa"), ca.prompt/2, hashID(ca.id), ca.prompt-ca.prompt/2)
	}
	if ca.resumes != "" {
		fmt.Fprintf(&sb, "Resumes: %s\r\nLast-Event-Id: %d\r\n", ca.resumes, ca.lastEvent)
	}
	if method == http.MethodPost {
		fmt.Fprintf(&sb, "Content-Length: %d\r\n", len(ca.body))
	}
	sb.WriteString("\r\n")
	if method == http.MethodPost {
		sb.WriteString(ca.body)
	}
	return []byte(sb.String())
}

func hashID(id string) uint32 {
	sum := uint32(2166136261)
	for _, by := range []byte(id) {
		sum = (sum ^ uint32(by)) * 16777619
	}
	return sum
}

// do sends a request on the channel and waits for its answer. The requester leaves when its time limit is over, with some slack for the answer at the limit.
func (ch *channel) do(ca call) answer {
	an := answer{sentAt: time.Now()}
	_ = ch.net.SetDeadline(an.sentAt.Add(time.Duration(ca.millis)*time.Millisecond + 3*time.Second))
	if _, err := ch.net.Write(ca.encode()); err != nil {
		an.err, an.at = err, time.Now()
		return an
	}
	method := ca.method
	if method == "" {
		method = http.MethodPost
	}
	rs, err := http.ReadResponse(ch.reader, &http.Request{Method: method})
	if err != nil {
		an.err, an.at = err, time.Now()
		return an
	}
	an.status, an.header, an.signed = rs.StatusCode, rs.Header, rs.Header.Get("Server-Signature") != ""
	data, err := io.ReadAll(rs.Body)
	an.body, an.err, an.at = string(data), err, time.Now()
	_ = ch.net.SetDeadline(time.Time{})
	return an
}

// once sends a request on a new channel.
func once(address string, ca call) answer {
	began := time.Now()
	ch, err := open(address)
	if err != nil {
		return answer{sentAt: began, at: time.Now(), err: err}
	}
	defer ch.close()
	return ch.do(ca)
}
