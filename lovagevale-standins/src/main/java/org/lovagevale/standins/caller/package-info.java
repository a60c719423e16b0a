/**
 * A client that follows the protocol rules for callers: address lookups, idempotency
 * keys, deadlines and resends.
 */
@NullMarked
package org.lovagevale.standins.caller;

import org.jspecify.annotations.NullMarked;
