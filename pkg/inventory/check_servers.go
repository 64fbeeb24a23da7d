package inventory

import (
	"fmt"
	"net/netip"
	"net/url"
	"slices"
	"strings"
)

const (
	// Descriptions of the accepted values, for findings.
	hostAddressFormat = "an IP address and a port, such as 127.0.0.1:7000"
	baseURLFormat     = "an http or https URL with a host, such as http://127.0.0.1:9000"
	pathPrefixFormat  = "/ and a path without a slash at its end, other than /v1 and the paths below it"

	// modelAPIPath is the path prefix of the model API, which a plain service must not use.
	modelAPIPath = "/v1"
)

func (c *checker) checkHosts() {
	for i, host := range c.Hosts {
		c.checkReference(c.position("host", i, "place"), "place", host.Place, c.placeIndex)
		pos := c.position("host", i, "address")
		address, err := netip.ParseAddrPort(host.Address)
		if err != nil || address.Port() == 0 {
			text := fmt.Sprintf("the address %q of the host %q cannot be parsed", host.Address, host.Name)
			c.report(pos, text, "write the address of the router's peer listener", hostAddressFormat)
			continue
		}
		c.checkUniqueAddress(pos, address.String(), "host "+quote(host.Name))
	}
}

func (c *checker) checkServices() {
	serviceByPrefix := make(map[string]string)
	for i, service := range c.Services {
		switch service.Kind {
		case KindPlain:
			c.checkPrefix(i, serviceByPrefix)
			c.checkNonRepeatable(i)
		case KindModel:
			if service.Prefix != "" || len(service.NonRepeatable) > 0 {
				text := fmt.Sprintf("the service %q of model engines has a prefix or non-repeatable calls", service.Name)
				c.report(c.position("service", i, "prefix"), text, "remove prefix and once, or change kind to plain", "none")
			}
		default:
			text := fmt.Sprintf("the kind of the service %q is %q", service.Name, service.Kind)
			c.report(c.position("service", i, "kind"), text, "name a kind", "model, plain")
		}
		c.checkAmount(c.position("service", i, "cost"), "cost of the service "+quote(service.Name), int64(service.Cost), 0, int64(MaxTokens))
		servers := 0
		for _, backend := range c.Backends {
			if backend.Service == service.Name {
				servers++
			}
		}
		c.checkMinReady(c.position("service", i, "ready"), "service "+quote(service.Name), service.MinReady, servers)
	}
}

// checkPrefix checks the path prefix of a plain service. It adds the prefix to serviceByPrefix.
func (c *checker) checkPrefix(i int, serviceByPrefix map[string]string) {
	service, pos := c.Services[i], c.position("service", i, "prefix")
	prefix := service.Prefix
	switch {
	case len(prefix) < 2 || prefix[0] != '/' || strings.HasSuffix(prefix, "/") || strings.ContainsAny(prefix, "?#% "):
		text := fmt.Sprintf("the prefix %q of the service %q is malformed", prefix, service.Name)
		c.report(pos, text, "give a path prefix", pathPrefixFormat)
	case prefix == modelAPIPath || strings.HasPrefix(prefix, modelAPIPath+"/"):
		text := fmt.Sprintf("the prefix %q of the service %q shadows the model API", prefix, service.Name)
		c.report(pos, text, "give another prefix", pathPrefixFormat)
	case serviceByPrefix[prefix] != "":
		text := fmt.Sprintf("the prefix %q of the service %q is also that of the service %q", prefix, service.Name, serviceByPrefix[prefix])
		c.report(pos, text, "give each service its own prefix", "unique prefixes")
	default:
		serviceByPrefix[prefix] = service.Name
	}
}

// checkNonRepeatable reports declarations of non-repeatable calls that no call can match. The call that the operator
// meant would otherwise be repeated.
func (c *checker) checkNonRepeatable(i int) {
	service := c.Services[i]
	for _, call := range service.NonRepeatable {
		method, path, ok := strings.Cut(call, " ")
		inService := path == service.Prefix || strings.HasPrefix(path, service.Prefix+"/")
		if ok && inService && method != "" && method == strings.ToUpper(method) {
			continue
		}
		text := fmt.Sprintf("the non-repeatable call %q of the service %q matches no call", call, service.Name)
		accepted := fmt.Sprintf("a method in capitals, a space and a path at or below %s", service.Prefix)
		c.report(c.position("service", i, "once"), text, "write the call as callers send it", accepted)
	}
}

// checkMinReady reports a minimum of ready backend servers that the declared ones cannot meet.
func (c *checker) checkMinReady(pos Position, subject string, minReady, declared int) {
	if minReady >= 0 && minReady <= declared {
		return
	}
	text := fmt.Sprintf("%s is to have at least %d ready servers, and %d are declared", subject, minReady, declared)
	c.report(pos, text, "lower ready or declare more backend servers", fmt.Sprintf("0 to %d", declared))
}

func (c *checker) checkModels() {
	for i, model := range c.Models {
		pos := c.position("model", i, "service")
		if c.checkReference(pos, "service", model.Service, c.serviceIndex) && c.serviceKind(model.Service) == KindPlain {
			text := fmt.Sprintf("the service %q of the model %q is a plain service", model.Service, model.Name)
			c.report(pos, text, "name a service of model engines", "a service of kind model")
		}
		if model.Version == "" {
			text := fmt.Sprintf("the model %q has no version", model.Name)
			c.report(c.position("model", i, "version"), text, "give the version in the weight store", "a text that is not empty")
		}
		suffix := " of the model " + quote(model.Name)
		c.checkAmount(c.position("model", i, "limit"), "limit"+suffix, int64(model.MaxOutputTokens), 1, int64(MaxTokens))
		c.checkAmount(c.position("model", i, "overhead"), "overhead"+suffix, int64(model.TemplateOverhead), 0, int64(MaxTokens))
		servers := 0
		for _, backend := range c.Backends {
			if slices.Contains(backend.Models, model.Name) {
				servers++
			}
		}
		c.checkMinReady(c.position("model", i, "ready"), "model "+quote(model.Name), model.MinReady, servers)
		c.checkListDuplicates(c.position("model", i, "adapters"), "adapter"+suffix, model.Adapters)
	}
}

// checkListDuplicates reports each repetition of a name in a list.
func (c *checker) checkListDuplicates(pos Position, subject string, names []string) {
	seen := make(map[string]bool)
	for _, name := range names {
		if seen[name] {
			c.report(pos, fmt.Sprintf("%s %q is listed twice", subject, name), "remove one of them", "unique names")
		}
		seen[name] = true
	}
}

func (c *checker) checkBackends() {
	for i, backend := range c.Backends {
		c.checkReference(c.position("backend", i, "place"), "place", backend.Place, c.placeIndex)
		c.checkReference(c.position("backend", i, "service"), "service", backend.Service, c.serviceIndex)
		c.checkBackendAddress(i)
		c.checkBackendModels(i)
		switch backend.Role {
		case "", RoleServe, RolePrefill, RoleDecode:
		default:
			text := fmt.Sprintf("the role of the backend server %q is %q", backend.Name, backend.Role)
			c.report(c.position("backend", i, "role"), text, "name a role", "serve, prefill, decode")
		}
	}
}

// checkBackendAddress checks the base URL of a backend server.
func (c *checker) checkBackendAddress(i int) {
	backend, pos := c.Backends[i], c.position("backend", i, "address")
	baseURL, err := url.Parse(backend.Address)
	if err != nil || baseURL.Hostname() == "" || (baseURL.Scheme != "http" && baseURL.Scheme != "https") {
		text := fmt.Sprintf("the address %q of the backend server %q cannot be parsed", backend.Address, backend.Name)
		c.report(pos, text, "write the server's base URL", baseURLFormat)
		return
	}
	port := baseURL.Port()
	if port == "" {
		port = map[string]string{"http": "80", "https": "443"}[baseURL.Scheme]
	}
	c.checkUniqueAddress(pos, strings.ToLower(baseURL.Hostname())+":"+port, "backend server "+quote(backend.Name))
}

// checkBackendModels reports models of a backend server that are undeclared, listed twice or of another service.
func (c *checker) checkBackendModels(i int) {
	backend, pos := c.Backends[i], c.position("backend", i, "models")
	for _, name := range backend.Models {
		if !c.checkReference(pos, "model", name, c.modelIndex) {
			continue
		}
		modelService := c.Models[c.modelIndex[name]].Service
		if modelService == backend.Service {
			continue
		}
		text := fmt.Sprintf("the backend server %q of the service %q is to hold the model %q of the service %q",
			backend.Name, backend.Service, name, modelService)
		c.report(pos, text, "remove the model or change the service", "models of the service "+quote(backend.Service))
	}
	c.checkListDuplicates(pos, "model of the backend server "+quote(backend.Name), backend.Models)
}

// checkUniqueAddress reports an address that another host or backend server uses.
func (c *checker) checkUniqueAddress(pos Position, address, user string) {
	firstUser, ok := c.addressUsers[address]
	if !ok {
		c.addressUsers[address] = user
		return
	}
	text := fmt.Sprintf("the address %s of the %s is also that of the %s", address, user, firstUser)
	c.report(pos, text, "give each its own address", "unique addresses")
}

// serviceKind returns the kind of a declared service.
func (c *checker) serviceKind(service string) Kind {
	return c.Services[c.serviceIndex[service]].Kind
}
