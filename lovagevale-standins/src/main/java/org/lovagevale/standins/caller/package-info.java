/**
 * A client for callers: address lookups, idempotency keys, deadlines and resends.
 */
@NullMarked
package org.lovagevale.standins.caller;

import org.jspecify.annotations.NullMarked;
