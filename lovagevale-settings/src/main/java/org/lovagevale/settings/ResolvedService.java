package org.lovagevale.settings;

import java.util.List;

/**
 * A service of a settings tree with its effective values.
 *
 * @param service the service with its policy
 * @param routes its routes with their policies
 * @param servers its backend servers
 */
record ResolvedService(ResolvedObject service, List<ResolvedObject> routes, List<ResolvedObject> servers) {
}
