package org.lovagevale.gateway;

import reactor.core.publisher.Mono;

/**
 * Reads the state that the platform publishes.
 *
 * <p>
 * Implementations are thread-safe.
 */
@FunctionalInterface
public interface CatalogSource {

	/**
	 * Reads the complete published state.
	 * @param silenceMs the time without data after which a response counts as lost, in
	 * milliseconds
	 * @return a state that was current at some time after the call, or an error
	 */
	Mono<CatalogState> read(long silenceMs);

}
