/**
 * What an entry process believes about routes, services and backend servers.
 */
@NullMarked
package org.lovagevale.core.catalog;

import org.jspecify.annotations.NullMarked;
