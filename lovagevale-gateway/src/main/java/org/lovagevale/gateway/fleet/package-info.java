/**
 * What the entry processes of a region do together.
 */
@NullMarked
package org.lovagevale.gateway.fleet;

import org.jspecify.annotations.NullMarked;
