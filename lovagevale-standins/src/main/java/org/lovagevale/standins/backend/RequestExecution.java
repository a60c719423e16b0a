package org.lovagevale.standins.backend;

import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/**
 * The execution state of a request in the slots or the queue of a backend server.
 *
 * <p>
 * The stage changes only under the lock of {@link WorkSlots}.
 */
final class RequestExecution {

	private final Sinks.One<Boolean> startSignal = Sinks.one();

	private Stage stage = Stage.NEW;

	Mono<Boolean> startSignal() {
		return this.startSignal.asMono();
	}

	void start() {
		this.startSignal.tryEmitValue(Boolean.TRUE);
	}

	Stage stage() {
		return this.stage;
	}

	void setStage(Stage next) {
		this.stage = next;
	}

	/**
	 * The stage of a request.
	 */
	enum Stage {

		/** Not admitted yet. */
		NEW,

		/** Queued until a slot is free. */
		QUEUED,

		/** Occupying a slot. */
		RUNNING,

		/** Answered, rejected or cancelled. */
		DONE

	}

}
