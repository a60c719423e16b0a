/**
 * Decision logic of an entry process. It takes events and returns decisions, and performs
 * no I/O, starts no threads and reads time only from the clock it is given.
 */
@NullMarked
package org.lovagevale.core;

import org.jspecify.annotations.NullMarked;
