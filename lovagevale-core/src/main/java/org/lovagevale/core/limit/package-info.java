/**
 * Limits on the request rates of client accounts, summed over all entry VMs.
 */
@NullMarked
package org.lovagevale.core.limit;

import org.jspecify.annotations.NullMarked;
