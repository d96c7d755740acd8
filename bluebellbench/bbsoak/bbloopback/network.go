// Package bbloopback reserves a loopback network for a soak test and defines the addresses in it.
package bbloopback

import (
	"fmt"
	"net"
	"os"

	"github.com/cockroachdb/errors"
)

// Network is a loopback network. Each VM has an IP address, whose last octet is its number plus 1.
type Network struct {
	// prefix has the first three octets.
	prefix string
}

const (
	// networks is the number of loopback networks to choose from.
	networks = 50000
	// MaxVMs is the maximum number of VMs.
	MaxVMs = 240
	// FirstPort is the first port of each VM.
	FirstPort = 8620
	// Relative to the first port are peerPort, the port of the proxy through which other VMs connect, innerPort,
	// the port on which the VM itself listens for them, and storePort, the port of the proxy before the store.
	peerPort  = 8
	innerPort = 9
	storePort = 10
	// The last octets of the addresses of the store, of the endpoints and of their proxies. They exceed MaxVMs, so
	// that the addresses of VMs don't overlap with them.
	storeHost    = 250
	endpointHost = 251
	proxyHost    = 252
	endpointPort = 9000
)

// Reserve returns a network that no other soak test uses, and the listener of the store, which keeps the network
// reserved.
func Reserve() (Network, net.Listener, error) {
	for i := range networks {
		k := (os.Getpid() + i) % networks
		n := Network{
			prefix: fmt.Sprintf("127.%d.%d", 1+k/250, 1+k%250),
		}
		if l, err := net.Listen("tcp", n.address(storeHost, FirstPort)); err == nil {
			return n, l, nil
		}
	}
	return Network{}, nil, errors.New("no free loopback network for the soak test")
}

func (n Network) address(host, port int) string {
	return fmt.Sprintf("%s.%d:%d", n.prefix, host, port)
}

// VM returns the IP address of a VM.
func (n Network) VM(i int) string {
	return fmt.Sprintf("%s.%d", n.prefix, i+1)
}

// Peer returns the address of the proxy through which other VMs connect to a VM.
func (n Network) Peer(i int) string { return n.address(i+1, FirstPort+peerPort) }

// Inner returns the address on which a VM itself listens for other VMs.
func (n Network) Inner(i int) string { return n.address(i+1, FirstPort+innerPort) }

// Store returns the address of the proxy through which a VM connects to the store.
func (n Network) Store(i int) string { return n.address(i+1, FirstPort+storePort) }

// Endpoint returns the address on which an endpoint listens.
func (n Network) Endpoint(i int) string { return n.address(endpointHost, endpointPort+i) }

// EndpointProxy returns the address of the proxy before an endpoint.
func (n Network) EndpointProxy(i int) string { return n.address(proxyHost, endpointPort+i) }
