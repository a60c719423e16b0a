/**
 * At-most-once execution of non-idempotent requests by idempotency keys.
 */
@NullMarked
package org.lovagevale.core.keys;

import org.jspecify.annotations.NullMarked;
