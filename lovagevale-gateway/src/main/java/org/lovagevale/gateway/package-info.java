/**
 * The entry process whose region shares one queue for each service.
 */
@NullMarked
package org.lovagevale.gateway;

import org.jspecify.annotations.NullMarked;
