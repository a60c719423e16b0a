/**
 * Cooperation between entry processes: membership, catalog updates and the granting of
 * slots on backend servers.
 */
@NullMarked
package org.lovagevale.gateway.fleet;

import org.jspecify.annotations.NullMarked;
