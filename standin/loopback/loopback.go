package loopback

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync/atomic"

	"github.com/pkg/errors"
)

const (
	// claimPort marks a network as taken: its first address listens there for as long as it is held.
	claimPort = 1024
	// maxClaimAttempts bounds how many networks are tried; 65,000 exist.
	maxClaimAttempts = 64
	// HostCount is how many hosts a network has.
	HostCount = 250
	// firstListenPort is the port of the first host that Listen and Next take.
	firstListenPort = 7001
	// firstSecondOctet leaves 127.0.x.y out, from which connections to other loopback addresses come.
	firstSecondOctet, lastSecondOctet = 1, 254
	thirdOctetCount                   = 256
	claimHost                         = 254
)

// Network is 250 loopback addresses that no other holder uses; no outgoing connection takes a port of theirs.
type Network struct {
	secondOctet, thirdOctet byte
	claimListener           net.Listener
	allocated               atomic.Uint32
}

// Claim returns a network that is held until Close.
func Claim() (*Network, error) { return ClaimNear(rand.Uint64()) }

// ClaimNear returns the network of a number, or the next one that is free, so that a run with a seed has the same addresses again.
func ClaimNear(number uint64) (*Network, error) {
	const seconds = lastSecondOctet - firstSecondOctet + 1
	var last error
	for i := range uint64(maxClaimAttempts) {
		at := (number + i) % (seconds * thirdOctetCount)
		n := &Network{secondOctet: byte(firstSecondOctet + at%seconds), thirdOctet: byte(at / seconds)}
		n.claimListener, last = net.Listen("tcp", netip.AddrPortFrom(n.addressOf(claimHost), claimPort).String())
		if last == nil {
			return n, nil
		}
	}
	return nil, errors.Wrap(last, "claim a loopback network")
}

// Address returns a host's address at a port; hosts are numbered from 0 to Hosts-1.
func (n *Network) Address(host int, port uint16) netip.AddrPort {
	if host < 0 || host >= HostCount {
		panic("loopback: no such host")
	}
	return netip.AddrPortFrom(n.addressOf(byte(host+1)), port)
}

// NextAddress returns an address that was not returned before.
func (n *Network) NextAddress() netip.AddrPort {
	i := n.allocated.Add(1) - 1
	return n.Address(int(i%HostCount), uint16(firstListenPort+i/HostCount))
}

// Listen listens on the next address.
func (n *Network) Listen() (net.Listener, error) {
	ln, err := net.Listen("tcp", n.NextAddress().String())
	return ln, errors.Wrap(err, "listen on loopback")
}

// Close gives the network back.
func (n *Network) Close() error {
	return errors.Wrap(n.claimListener.Close(), "give a loopback network back")
}

func (n *Network) addressOf(host byte) netip.Addr {
	return netip.AddrFrom4([4]byte{127, n.secondOctet, n.thirdOctet, host})
}
