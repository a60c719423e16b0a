package org.lovagevale.settings;

import java.util.List;
import java.util.Map;

/**
 * The effective values of a settings tree without errors.
 *
 * @param root the values of the root itself
 * @param defaults the policy in the root member "defaults"
 * @param regions the regions
 * @param domains the failure domains
 * @param entryVms the entry VMs
 * @param services the services
 * @param accounts the client accounts
 * @param groups the root members that only contain values, by member name
 */
record ResolvedTree(ResolvedObject root, ResolvedObject defaults, List<ResolvedObject> regions,
		List<ResolvedObject> domains, List<ResolvedObject> entryVms, List<ResolvedService> services,
		List<ResolvedObject> accounts, Map<String, ResolvedObject> groups) {
}
