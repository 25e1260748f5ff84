package loader

import "gentianpond/internal/settings/scanner"

// readZones reads the field zones, an object that names the region of each availability
// zone. The field may be absent.
func readZones(o scanner.Object) map[string]string {
	n, ok := o.Field("zones")
	if !ok {
		return nil
	}
	members, _ := n.Members()
	zones := map[string]string{}
	for _, m := range members {
		if m.Name == "" {
			m.Value.Fault("the zone has no name")
		}
		if region, ok := m.Value.String(); ok {
			zones[m.Name] = region
		}
	}
	return zones
}

// readRegion reads the field region, which may be absent.
func readRegion(o scanner.Object) string {
	n, ok := o.Field("region")
	if !ok {
		return ""
	}
	region, _ := n.String()
	return region
}
