package org.lovagevale.node.wiring;

import org.jspecify.annotations.Nullable;
import org.lovagevale.core.RequestId;
import org.lovagevale.core.event.AddressesAsked;
import org.lovagevale.core.event.AnswerEnded;
import org.lovagevale.core.event.AnswerHeadArrived;
import org.lovagevale.core.event.AttemptFailed;
import org.lovagevale.core.event.CallerGone;
import org.lovagevale.core.event.Event;
import org.lovagevale.core.event.HeadArrived;
import org.lovagevale.core.event.OutcomeAsked;
import org.lovagevale.core.event.PrefixArrived;

/**
 * Finds the identifier of the request to which an event belongs.
 *
 * <p>
 * Thread-safe.
 */
final class EventIds {

	private EventIds() {
	}

	static @Nullable RequestId requestOf(Event event) {
		return switch (event) {
			case HeadArrived e -> e.id();
			case PrefixArrived e -> e.id();
			case AnswerHeadArrived e -> e.id();
			case AnswerEnded e -> e.id();
			case AttemptFailed e -> e.id();
			case CallerGone e -> e.id();
			case AddressesAsked e -> e.id();
			case OutcomeAsked e -> e.id();
			default -> null;
		};
	}

}
