package loopback

import (
	"net"
	"testing"
)

func TestClaimedNetworksAreDistinct(t *testing.T) {
	const holders = 200
	seen := make(map[string]bool)
	for range holders {
		n, err := Claim()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = n.Close() })
		address := n.Address(0, 7001).String()
		if seen[address] {
			t.Fatalf("address %s is in two networks", address)
		}
		seen[address] = true
	}
}

// TestOutgoingConnectionsUseNoNetworkAddress guards against port conflicts: an outgoing connection with a source address of the
// network could occupy a port on which a test wants to listen.
func TestOutgoingConnectionsUseNoNetworkAddress(t *testing.T) {
	n, err := Claim()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = n.Close() }()
	listener, err := net.Listen("tcp", n.Address(HostCount-1, 7001).String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	from, _, err := net.SplitHostPort(conn.LocalAddr().String())
	if err != nil {
		t.Fatal(err)
	}
	if from != "127.0.0.1" {
		t.Fatalf("source address of the connection is %s, want 127.0.0.1", from)
	}
}
