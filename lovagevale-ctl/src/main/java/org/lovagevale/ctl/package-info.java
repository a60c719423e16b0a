/**
 * The operators' command line tool, one class for each subcommand.
 */
@NullMarked
package org.lovagevale.ctl;

import org.jspecify.annotations.NullMarked;
