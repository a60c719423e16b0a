/**
 * The node module.
 */
@NullMarked
package org.lovagevale.node;

import org.jspecify.annotations.NullMarked;
