package bbrule

// Index looks up the rules of a set by name. It is immutable; its pointers refer to the
// entries of the set.
type Index struct {
	// Set is the indexed set.
	Set *RuleSet
	// Domains, Services, Models, Endpoints, Pipelines and Accounts are keyed by name.
	Domains   map[string]*Domain
	Services  map[string]*Service
	Models    map[string]*Model
	Endpoints map[string]*Endpoint
	Pipelines map[string]*Pipeline
	Accounts  map[string]*Account
	// Calls is keyed by service and path.
	Calls map[CallKey]*Call
	// ServiceEndpoints and DomainEndpoints are in file order.
	ServiceEndpoints map[string][]*Endpoint
	DomainEndpoints  map[string][]*Endpoint
}

// CallKey identifies a call.
type CallKey struct {
	// Service is the service's name.
	Service string
	// Path is the call's path without a leading slash.
	Path string
}

// NewIndex builds the index of a set.
func NewIndex(set *RuleSet) *Index {
	x := &Index{
		Set:              set,
		Domains:          map[string]*Domain{},
		Services:         map[string]*Service{},
		Models:           map[string]*Model{},
		Endpoints:        map[string]*Endpoint{},
		Pipelines:        map[string]*Pipeline{},
		Accounts:         map[string]*Account{},
		Calls:            map[CallKey]*Call{},
		ServiceEndpoints: map[string][]*Endpoint{},
		DomainEndpoints:  map[string][]*Endpoint{},
	}
	for i := range set.Domains {
		x.Domains[set.Domains[i].Name] = &set.Domains[i]
	}
	for i := range set.Services {
		x.Services[set.Services[i].Name] = &set.Services[i]
	}
	for i := range set.Models {
		x.Models[set.Models[i].Name] = &set.Models[i]
	}
	for i := range set.Pipelines {
		x.Pipelines[set.Pipelines[i].Name] = &set.Pipelines[i]
	}
	for i := range set.Accounts {
		x.Accounts[set.Accounts[i].Name] = &set.Accounts[i]
	}
	for i := range set.Calls {
		c := &set.Calls[i]
		x.Calls[CallKey{Service: c.Service, Path: c.Path}] = c
	}
	for i := range set.Endpoints {
		e := &set.Endpoints[i]
		x.Endpoints[e.Name] = e
		x.ServiceEndpoints[e.Service] = append(x.ServiceEndpoints[e.Service], e)
		x.DomainEndpoints[e.Domain] = append(x.DomainEndpoints[e.Domain], e)
	}
	return x
}

// Call returns the call of a service and path, or nil.
func (x *Index) Call(service, path string) *Call {
	return x.Calls[CallKey{Service: service, Path: path}]
}

// Region returns the region of a failure domain, empty for an unknown one.
func (x *Index) Region(domain string) string {
	if d := x.Domains[domain]; d != nil {
		return d.Region
	}
	return ""
}

// IsOut reports whether an endpoint's failure domain is taken out of service.
func (x *Index) IsOut(e *Endpoint) bool {
	d := x.Domains[e.Domain]
	return d != nil && d.Out
}
