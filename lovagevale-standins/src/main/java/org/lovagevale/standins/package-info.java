/**
 * Stand-ins for backend servers, the platform, network links and callers, used in tests
 * and demonstrations.
 */
@NullMarked
package org.lovagevale.standins;

import org.jspecify.annotations.NullMarked;
