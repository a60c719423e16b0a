/**
 * Connects the decision logic to the network.
 */
@NullMarked
package org.lovagevale.node.wiring;

import org.jspecify.annotations.NullMarked;
