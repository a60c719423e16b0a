/**
 * Which entry VMs of a region are alive and which of them does what.
 */
@NullMarked
package org.lovagevale.core.roster;

import org.jspecify.annotations.NullMarked;
