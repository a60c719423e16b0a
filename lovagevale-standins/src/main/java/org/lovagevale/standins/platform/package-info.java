/**
 * Stand-in of the settings service and the VM list.
 */
@NullMarked
package org.lovagevale.standins.platform;

import org.jspecify.annotations.NullMarked;
