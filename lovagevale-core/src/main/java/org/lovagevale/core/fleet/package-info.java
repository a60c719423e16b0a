/**
 * Coordination between entry processes: membership, settings versions, ownership of
 * backend servers, fencing, quarantine and caller addresses.
 */
@NullMarked
package org.lovagevale.core.fleet;

import org.jspecify.annotations.NullMarked;
