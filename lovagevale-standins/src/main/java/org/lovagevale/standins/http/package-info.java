/**
 * HTTP and JSON utilities shared by the stand-ins.
 */
@NullMarked
package org.lovagevale.standins.http;

import org.jspecify.annotations.NullMarked;
