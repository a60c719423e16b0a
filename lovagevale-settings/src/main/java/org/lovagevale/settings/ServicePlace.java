package org.lovagevale.settings;

import java.util.List;

/**
 * A service of a checked tree.
 *
 * @param service the service with its policy
 * @param routes its routes with their policies
 * @param servers its backend servers
 */
record ServicePlace(Place service, List<Place> routes, List<Place> servers) {
}
