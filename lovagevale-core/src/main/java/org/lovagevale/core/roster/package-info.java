/**
 * Membership of the entry VMs of a region, and the assignment of duties to them.
 */
@NullMarked
package org.lovagevale.core.roster;

import org.jspecify.annotations.NullMarked;
