package bbcluster

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// The range of the ports of entry VMs. It lies below the ephemeral port range of common systems, so that no
// outgoing connection takes a port between its selection and its use, or while its node is down.
const (
	firstPort  = 12_000
	portCount  = 16_000
	portStride = 97
)

// portsTried counts the ports tried by this process.
var portsTried atomic.Uint32

// freePorts returns loopback addresses that nothing listens on.
func freePorts(count int) ([]string, error) {
	var addresses []string
	for range portCount {
		if len(addresses) == count {
			return addresses, nil
		}
		if address := nextPort(); isFree(address) {
			addresses = append(addresses, address)
		}
	}
	return nil, errors.Newf("no %d free ports from %d on", count, firstPort)
}

// nextPort returns the next address to try. Processes start at different ports, depending on their process ID.
func nextPort() string {
	tried := int(portsTried.Add(1))
	port := firstPort + (os.Getpid()*portStride+tried)%portCount
	return fmt.Sprintf("127.0.0.1:%d", port)
}

// isFree reports whether a listener can be opened at an address.
func isFree(address string) bool {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	return l.Close() == nil
}
