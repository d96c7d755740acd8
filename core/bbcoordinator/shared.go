package bbcoordinator

// SharedMachines reports whether endpoints have reported the speed of their machines.
func (c *Coordinator) SharedMachines() bool {
	return false
}
