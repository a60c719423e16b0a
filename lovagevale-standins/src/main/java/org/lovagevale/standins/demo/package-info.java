/**
 * A demonstration that runs stand-ins, entry processes and a caller on one machine.
 */
@NullMarked
package org.lovagevale.standins.demo;

import org.jspecify.annotations.NullMarked;
