/**
 * Cooperation between entry processes: membership, catalog updates and the assignment of
 * slots.
 */
@NullMarked
package org.lovagevale.gateway.fleet;

import org.jspecify.annotations.NullMarked;
