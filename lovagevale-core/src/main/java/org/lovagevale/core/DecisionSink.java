package org.lovagevale.core;

import org.lovagevale.core.decision.Decision;

/**
 * Receives decisions in the order in which they are made.
 */
@FunctionalInterface
public interface DecisionSink {

	/**
	 * Adds a decision.
	 * @param decision the decision
	 */
	void add(Decision decision);

}
