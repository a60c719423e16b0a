/**
 * Members, settings versions, ownership, fencing, quarantine and addresses.
 */
@NullMarked
package org.lovagevale.core.fleet;

import org.jspecify.annotations.NullMarked;
