/**
 * Backend server stand-ins.
 */
@NullMarked
package org.lovagevale.standins.backend;

import org.jspecify.annotations.NullMarked;
