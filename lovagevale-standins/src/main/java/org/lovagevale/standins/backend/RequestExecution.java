package org.lovagevale.standins.backend;

import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/**
 * The execution state of a request to a backend server stand-in.
 *
 * <p>
 * The stage changes only under the lock of {@link WorkSlots}.
 */
final class RequestExecution {

	private final Sinks.One<Boolean> startSignal = Sinks.one();

	private ExecutionStage stage = ExecutionStage.NEW;

	Mono<Boolean> startSignal() {
		return this.startSignal.asMono();
	}

	void start() {
		this.startSignal.tryEmitValue(Boolean.TRUE);
	}

	ExecutionStage stage() {
		return this.stage;
	}

	void setStage(ExecutionStage next) {
		this.stage = next;
	}

	/**
	 * The stage of the execution.
	 */
	enum ExecutionStage {

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
