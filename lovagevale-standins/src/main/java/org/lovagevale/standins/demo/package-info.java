/**
 * A demonstration that runs stand-ins and entry processes on loopback addresses and sends
 * them requests.
 */
@NullMarked
package org.lovagevale.standins.demo;

import org.jspecify.annotations.NullMarked;
