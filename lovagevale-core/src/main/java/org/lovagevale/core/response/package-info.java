/**
 * Decides how long the response of a server is passed on.
 */
@NullMarked
package org.lovagevale.core.response;

import org.jspecify.annotations.NullMarked;
