/**
 * A stand-in for the settings service and the VM list of the platform.
 */
@NullMarked
package org.lovagevale.standins.platform;

import org.jspecify.annotations.NullMarked;
