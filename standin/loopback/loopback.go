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
	// attempts bounds how many networks are tried; 65,000 exist.
	attempts = 64
	// Hosts is how many hosts a network has.
	Hosts = 250
	// firstListenPort is the port of the first host that Listen and Next take.
	firstListenPort = 7001
	// firstNet leaves 127.0.x.y out, from which connections to other loopback addresses come.
	firstNet, lastNet = 1, 254
	thirdBytes        = 256
	claimHost         = 254
)

// Network is 250 loopback addresses that no other holder uses; no outgoing connection takes a port of theirs.
type Network struct {
	second, third byte
	claim         net.Listener
	taken         atomic.Uint32
}

// Claim returns a network that is held until Close.
func Claim() (*Network, error) { return ClaimNear(rand.Uint64()) }

// ClaimNear returns the network of a number, or the next one that is free, so that a run with a seed has the same addresses again.
func ClaimNear(number uint64) (*Network, error) {
	const seconds = lastNet - firstNet + 1
	var last error
	for i := range uint64(attempts) {
		at := (number + i) % (seconds * thirdBytes)
		n := &Network{second: byte(firstNet + at%seconds), third: byte(at / seconds)}
		n.claim, last = net.Listen("tcp", netip.AddrPortFrom(n.ip(claimHost), claimPort).String())
		if last == nil {
			return n, nil
		}
	}
	return nil, errors.Wrap(last, "claim a loopback network")
}

// Address returns a host's address at a port; hosts are numbered from 0 to Hosts-1.
func (n *Network) Address(host int, port uint16) netip.AddrPort {
	if host < 0 || host >= Hosts {
		panic("loopback: no such host")
	}
	return netip.AddrPortFrom(n.ip(byte(host+1)), port)
}

// Next returns an address that was not returned before.
func (n *Network) Next() netip.AddrPort {
	i := n.taken.Add(1) - 1
	return n.Address(int(i%Hosts), uint16(firstListenPort+i/Hosts))
}

// Listen listens on the next address.
func (n *Network) Listen() (net.Listener, error) {
	ln, err := net.Listen("tcp", n.Next().String())
	return ln, errors.Wrap(err, "listen on loopback")
}

// Close gives the network back.
func (n *Network) Close() error { return errors.Wrap(n.claim.Close(), "give a loopback network back") }

func (n *Network) ip(host byte) netip.Addr {
	return netip.AddrFrom4([4]byte{127, n.second, n.third, host})
}
