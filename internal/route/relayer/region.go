package relayer

import "slices"

// allowsZone reports whether the request may reach a server in an availability zone. Its
// route and its account may both name regions, and both bind. Without zones in the settings
// all regions count as one; a zone that they do not have is in none of the regions.
func (q *query) allowsZone(zone string) bool {
	zones := q.relayer.config.Zones
	if len(zones) == 0 {
		return true
	}
	allowed := func(regions []string) bool {
		if len(regions) == 0 {
			return true
		}
		region, ok := zones[zone]
		return ok && slices.Contains(regions, region)
	}
	return allowed(q.route.Regions) && (q.account == nil || allowed(q.account.Regions))
}

// allowsServer reports whether the request may be sent to a server.
func (q *query) allowsServer(s *server) bool { return q.allowsZone(s.Zone) }

// allowsCurrent is allowsServer for a server that was chosen earlier and may have changed its
// zone since.
func (q *query) allowsCurrent(s *server) bool {
	current := q.relayer.routing.Load().servers[s.Name]
	return current != nil && q.allowsServer(current)
}

// allowsHost reports whether the request may be handed over to an entry host in an
// availability zone. The region of this host, to which the client connected, is allowed.
func (q *query) allowsHost(zone string) bool {
	region, ok := q.relayer.config.Zones[zone]
	return q.allowsZone(zone) || ok && region == q.relayer.config.Region
}

// hasReadyServer reports whether a service has a ready server that may get the request.
func (q *query) hasReadyServer(service string) bool {
	routing := q.relayer.routing.Load()
	return slices.ContainsFunc(routing.services[service].ready, func(name string) bool { return q.allowsServer(routing.servers[name]) })
}
