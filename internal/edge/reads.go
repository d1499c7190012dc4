package edge

import (
	"net"

	"github.com/clementineweir/clementineweir/pkg/shed"
)

// countedTCP and countedConn are connections that report what is read from them. All bytes count, also those of refused requests and of heads, since they
// all use the link. The first has the other methods of a TCP connection, by which the HTTP server half-closes it and the pool looks for unexpected data.
// WriteTo, one of them, does not count; relays and the HTTP server use Read.
type (
	countedTCP struct {
		*net.TCPConn
		shedder *shed.Shedder
		from    shed.Source
	}
	countedConn struct {
		net.Conn
		shedder *shed.Shedder
		from    shed.Source
	}
)

// Read reads from the connection.
func (ct countedTCP) Read(data []byte) (int, error) {
	count, err := ct.TCPConn.Read(data)
	ct.shedder.RecordRead(ct.from, count)
	return count, err
}

// Read reads from the connection.
func (cc countedConn) Read(data []byte) (int, error) {
	count, err := cc.Conn.Read(data)
	cc.shedder.RecordRead(cc.from, count)
	return count, err
}

// readCounter makes connections report what is read from them to the shedder; without one, it leaves them as they are.
type readCounter struct {
	shedder *shed.Shedder
}

// count returns a connection that reports what is read from it; there may be no connection.
func (rc readCounter) count(nc net.Conn, from shed.Source) net.Conn {
	if nc == nil || rc.shedder == nil {
		return nc
	}
	if tc, ok := nc.(*net.TCPConn); ok {
		return countedTCP{TCPConn: tc, shedder: rc.shedder, from: from}
	}
	return countedConn{Conn: nc, shedder: rc.shedder, from: from}
}

// countedListener counts what is read from the connections that it accepts.
type countedListener struct {
	net.Listener
	reads readCounter
	from  shed.Source
}

// Accept returns the next connection.
func (cl countedListener) Accept() (net.Conn, error) {
	nc, err := cl.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return cl.reads.count(nc, cl.from), nil
}
