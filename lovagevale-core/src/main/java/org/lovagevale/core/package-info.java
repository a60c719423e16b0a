/**
 * Decision logic of an entry process: events in, decisions out, without I/O, threads or
 * wall clock of its own.
 */
@NullMarked
package org.lovagevale.core;

import org.jspecify.annotations.NullMarked;
