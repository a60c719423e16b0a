package org.lovagevale.core;

import java.util.List;

import org.lovagevale.core.decision.Decision;
import org.lovagevale.core.event.Event;

/**
 * Processes events and returns the decisions that follow from them.
 *
 * <p>
 * Invariant: the logic is deterministic; the same events at the same times with the same
 * random numbers lead to the same decisions. Not thread-safe: callers must serialize all
 * calls.
 */
public interface DecisionLogic {

	/**
	 * Handles an event.
	 * @param event the event
	 * @return the decisions, in the order in which they must be carried out
	 */
	List<Decision> apply(Event event);

	/**
	 * Returns a summary of the process for operators.
	 * @return the summary
	 */
	Status status();

}
