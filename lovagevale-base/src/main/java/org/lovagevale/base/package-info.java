/**
 * Types shared by every module: clock, random source and identities.
 */
@NullMarked
package org.lovagevale.base;

import org.jspecify.annotations.NullMarked;
