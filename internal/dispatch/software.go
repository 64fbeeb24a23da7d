package dispatch

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"citronslip/internal/event"
	"citronslip/internal/resume"
	"citronslip/pkg/inventory"
)

const (
	// unnamedSoftware stands for the software version of servers whose entries name none. It counts as a version of its own.
	unnamedSoftware = "unnamed"
	// resumeTimeouts is the time in which a caller may take a stream up, as a multiple of the route's timeout: the caller's
	// own time limit may be longer than that of the route.
	resumeTimeouts = 2
)

var (
	errSoftwareChanged = errors.New("dispatch: a process with another software version has taken the server's place")
)

// softwareVersion returns the version of the server's software.
func (s *Server) softwareVersion() string { return cmp.Or(s.Software, unnamedSoftware) }

// Origins returns the service and the software version of each server.
func Origins(servers []Server) []resume.Origin {
	origins := make([]resume.Origin, 0, len(servers))
	for i := range servers {
		origins = append(origins, resume.Origin{Service: servers[i].Service, Software: servers[i].softwareVersion()})
	}
	return origins
}

// takeUp finds the software version that began the stream that the request takes up, if it takes one up. It returns an empty
// reason on success.
func (c *call) takeUp(ctx context.Context) Reason {
	if !c.route.Stream || c.route.Repeat != inventory.Resumable || c.request.LastEvent == "" {
		return ""
	}
	origin, err := c.Streams.Find(ctx, c.stream(), c.candidateServices(), c.resumeWindow())
	if err != nil {
		c.logEvent(event.StreamUnknown).Str("resumes", c.request.Resumes).Str("service", c.service).Err(err).Send()
		return StreamUnknown
	}
	c.logEvent(event.StreamTakenUp).Str("resumes", c.request.Resumes).Str("service", origin.Service).
		Str("software", origin.Software).Send()
	// A route that no longer leads to the service that began the stream has the stream go on at the one that it leads to.
	if slices.Contains(c.candidateServices(), origin.Service) {
		c.service, c.software = origin.Service, origin.Software
	}
	return ""
}

// stream returns the identity of the stream.
func (c *call) stream() resume.Stream {
	stream := resume.Stream{Request: c.request.ID}
	if c.request.LastEvent != "" {
		stream.Request = c.request.Resumes
	}
	if c.account != nil {
		stream.Account = c.account.Name
	}
	return stream
}

// candidateServices returns the services to which the route leads, the chosen one first.
func (c *call) candidateServices() []string {
	services := []string{c.service}
	for _, share := range c.route.Shares {
		if share.Weight > 0 && !slices.Contains(services, share.Service) {
			services = append(services, share.Service)
		}
	}
	return services
}

// resumeWindow returns the time in which a stream can be taken up.
func (c *call) resumeWindow() time.Duration { return resumeTimeouts * c.route.Timeout }

// pinSoftware makes the stream stay at the software version of the server that sends its first event. Call it before an event
// is forwarded. It returns false if the event may be of another version, because another process has taken the server's place.
func (c *call) pinSoftware(server *Server) bool {
	if c.answerBegun {
		return true
	}
	if c.Pool.changedSoftware(server) {
		return false
	}
	if c.responseStarted {
		return true // Only servers of the stream's version were picked.
	}
	c.software = server.softwareVersion()
	if stream := c.stream(); c.route.Repeat == inventory.Resumable && stream.Request != "" {
		c.Streams.Begin(stream, resume.Origin{Service: c.service, Software: c.software}, c.resumeWindow())
	}
	return true
}
