/**
 * The routes, services and backend servers as known to an entry process.
 */
@NullMarked
package org.lovagevale.core.catalog;

import org.jspecify.annotations.NullMarked;
