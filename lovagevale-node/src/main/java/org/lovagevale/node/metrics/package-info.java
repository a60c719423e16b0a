/**
 * Metrics of an entry process.
 */
@NullMarked
package org.lovagevale.node.metrics;

import org.jspecify.annotations.NullMarked;
