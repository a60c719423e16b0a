package org.lovagevale.standins.backend;

import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/**
 * One request in the slots or the queue of a backend server.
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
	 * Where a request is.
	 */
	enum Stage {

		/** Not admitted yet. */
		NEW,

		/** Waiting for a slot. */
		QUEUED,

		/** In a slot. */
		RUNNING,

		/** Answered, rejected or cancelled. */
		DONE

	}

}
