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
			t.Fatalf("%s was handed out twice", address)
		}
		seen[address] = true
	}
}

// TestOutgoingConnectionsUseNoNetworkAddress makes connections to a host of a network and checks that none comes from an address of it.
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
		t.Fatalf("a connection comes from %s", from)
	}
}
