package org.lovagevale.core.placing;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

import org.jspecify.annotations.Nullable;
import org.lovagevale.base.FailureDomain;
import org.lovagevale.base.RandomSource;
import org.lovagevale.base.Region;
import org.lovagevale.base.ServiceName;
import org.lovagevale.core.catalog.BackendInstance;

/**
 * Chooses the region to which a request is passed on that must not be served in the
 * region of its entry VM.
 *
 * <p>
 * Load reports from another region arrive too late to place requests on its servers, so
 * the request is sent to an entry VM there. Regions get such requests in proportion to
 * their number of servers. Not thread-safe.
 */
public final class HomeRegionChooser {

	private final RandomSource random;

	/**
	 * Creates a chooser.
	 * @param random distributes the requests over the regions
	 */
	public HomeRegionChooser(RandomSource random) {
		this.random = random;
	}

	/**
	 * Chooses a region.
	 * @param service the service of the request
	 * @param candidates the regions in which the request may be served
	 * @param servers all known servers
	 * @param evacuated failure domains that get no requests
	 * @return a region, or {@code null} if no candidate has a server of the service
	 */
	public @Nullable Region choose(ServiceName service, Set<Region> candidates, Collection<BackendInstance> servers,
			Set<FailureDomain> evacuated) {
		Map<Region, Integer> counts = new LinkedHashMap<>();
		int total = 0;
		for (BackendInstance server : servers) {
			if (server.service().equals(service) && candidates.contains(server.region()) && !server.draining()
					&& !evacuated.contains(server.domain())) {
				counts.merge(server.region(), 1, Integer::sum);
				total++;
			}
		}
		int remaining = (total > 0) ? this.random.nextInt(total) : 0;
		for (Map.Entry<Region, Integer> count : counts.entrySet()) {
			remaining -= count.getValue();
			if (remaining < 0) {
				return count.getKey();
			}
		}
		return null;
	}

}
