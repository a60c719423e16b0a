package org.lovagevale.settings;

import java.util.List;
import java.util.Map;

/**
 * The effective values of a whole tree, free of errors.
 *
 * @param root the root members
 * @param defaults the policy at the root
 * @param regions the regions
 * @param domains the failure domains
 * @param entryVms the entry VMs
 * @param services the services
 * @param accounts the client accounts
 * @param groups the members of the root that are plain groups of values, by member name
 */
record TreeContent(Place root, Place defaults, List<Place> regions, List<Place> domains, List<Place> entryVms,
		List<ServicePlace> services, List<Place> accounts, Map<String, Place> groups) {
}
