package org.lovagevale.core;

import java.util.List;

import org.lovagevale.core.decision.Decision;
import org.lovagevale.core.event.Event;

/**
 * Turns events into decisions.
 *
 * <p>
 * Invariant: the same events at the same times with the same random numbers give the same
 * decisions. Not thread-safe: callers serialize all calls.
 */
public interface DecisionLogic {

	/**
	 * Handles an event.
	 * @param event the event
	 * @return what is to be done, in order
	 */
	List<Decision> apply(Event event);

	/**
	 * Returns a summary for operators.
	 * @return the summary
	 */
	Status status();

}
