package daemon

import (
	"context"
	"net"
	"time"

	"golang.org/x/sys/unix"
)

const (
	dialTimeout       = 2 * time.Second
	keepAliveIdle     = 10 * time.Second
	keepAliveInterval = 5 * time.Second
	keepAliveCount    = 3
)

// Network opens and accepts connections.
type Network interface {
	// Listen accepts TCP connections on an IP address and port.
	Listen(address string) (net.Listener, error)
	// Dial opens a connection; network is a network name of package net, such as tcp.
	Dial(ctx context.Context, network, address string) (net.Conn, error)
}

type systemNetwork struct {
	dialer net.Dialer
}

// NewSystemNetwork returns the network of the operating system.
func NewSystemNetwork() Network {
	return &systemNetwork{dialer: net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
	}}
}

func (sn *systemNetwork) Listen(address string) (net.Listener, error) {
	return net.Listen("tcp", address)
}

func (sn *systemNetwork) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	return sn.dialer.DialContext(ctx, network, address)
}

// NewSystemClock returns a monotonic clock that starts near zero and includes the time for which the machine is suspended.
func NewSystemClock() func() time.Duration {
	start := BootTime()
	return func() time.Duration { return BootTime() - start + 1 }
}

// BootTime returns the time since the machine booted, including the time for which it was suspended.
func BootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err)
	}
	return time.Duration(ts.Nano())
}
