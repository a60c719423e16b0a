/**
 * The command line tool for operators, with a class for each subcommand.
 */
@NullMarked
package org.lovagevale.ctl;

import org.jspecify.annotations.NullMarked;
