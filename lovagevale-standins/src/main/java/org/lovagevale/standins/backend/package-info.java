/**
 * Stand-ins for backend servers.
 */
@NullMarked
package org.lovagevale.standins.backend;

import org.jspecify.annotations.NullMarked;
