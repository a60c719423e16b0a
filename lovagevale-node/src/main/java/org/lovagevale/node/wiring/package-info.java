/**
 * Connects the decision logic to the network and to the settings service.
 */
@NullMarked
package org.lovagevale.node.wiring;

import org.jspecify.annotations.NullMarked;
