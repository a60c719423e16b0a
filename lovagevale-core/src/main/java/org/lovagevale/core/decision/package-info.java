/**
 * Actions that the decision logic tells an entry process to carry out.
 */
@NullMarked
package org.lovagevale.core.decision;

import org.jspecify.annotations.NullMarked;
