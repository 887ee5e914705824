package loopback

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync/atomic"

	"github.com/pkg/errors"
)

const (
	// claimPort marks a network as in use: the holder listens on this port of the claimHost address until Close.
	claimPort = 1024
	// maxClaimAttempts is the maximum number of networks to try, out of about 65,000.
	maxClaimAttempts = 64
	// HostCount is the number of hosts in a network.
	HostCount = 250
	// firstListenPort is the port of the first HostCount addresses that Listen and NextAddress return.
	firstListenPort = 7001
	// firstSecondOctet excludes 127.0.x.y, because outgoing connections to other loopback addresses use 127.0.0.1 as their
	// source address.
	firstSecondOctet, lastSecondOctet = 1, 254
	thirdOctetCount                   = 256
	claimHost                         = 254
)

// Network is a set of HostCount loopback addresses that no other holder uses. Outgoing connections occupy no port of these
// addresses.
type Network struct {
	secondOctet, thirdOctet byte
	claimListener           net.Listener
	allocated               atomic.Uint32
}

// Claim returns a random free network, which is reserved until Close.
func Claim() (*Network, error) { return ClaimNear(rand.Uint64()) }

// ClaimNear returns the network with the number, or the next free one, so that a run with the same seed has the same addresses.
func ClaimNear(number uint64) (*Network, error) {
	const secondOctetCount = lastSecondOctet - firstSecondOctet + 1
	var lastErr error
	for i := range uint64(maxClaimAttempts) {
		index := (number + i) % (secondOctetCount * thirdOctetCount)
		n := &Network{secondOctet: byte(firstSecondOctet + index%secondOctetCount), thirdOctet: byte(index / secondOctetCount)}
		n.claimListener, lastErr = net.Listen("tcp", netip.AddrPortFrom(n.addressOf(claimHost), claimPort).String())
		if lastErr == nil {
			return n, nil
		}
	}
	return nil, errors.Wrap(lastErr, "claim a loopback network")
}

// Address returns the address of a host with a port. Hosts are numbered from 0 to HostCount-1; Address panics for others.
func (n *Network) Address(host int, port uint16) netip.AddrPort {
	if host < 0 || host >= HostCount {
		panic("loopback: host number out of range")
	}
	return netip.AddrPortFrom(n.addressOf(byte(host+1)), port)
}

// NextAddress returns an address that it has not returned before.
func (n *Network) NextAddress() netip.AddrPort {
	i := n.allocated.Add(1) - 1
	return n.Address(int(i%HostCount), uint16(firstListenPort+i/HostCount))
}

// Listen listens on NextAddress.
func (n *Network) Listen() (net.Listener, error) {
	ln, err := net.Listen("tcp", n.NextAddress().String())
	return ln, errors.Wrap(err, "listen on loopback")
}

// Close releases the network.
func (n *Network) Close() error {
	return errors.Wrap(n.claimListener.Close(), "release a loopback network")
}

func (n *Network) addressOf(host byte) netip.Addr {
	return netip.AddrFrom4([4]byte{127, n.secondOctet, n.thirdOctet, host})
}
