/**
 * An entry process. The entry processes of a region share one queue for each service.
 */
@NullMarked
package org.lovagevale.gateway;

import org.jspecify.annotations.NullMarked;
