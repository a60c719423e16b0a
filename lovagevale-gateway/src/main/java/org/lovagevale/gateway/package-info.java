/**
 * An entry process, which accepts requests of callers and forwards them to backend
 * servers. The entry processes of a region share one queue for each service.
 */
@NullMarked
package org.lovagevale.gateway;

import org.jspecify.annotations.NullMarked;
