/**
 * Tests that span several modules: the module graph and real entry processes.
 */
@NullMarked
package org.lovagevale.checks;

import org.jspecify.annotations.NullMarked;
