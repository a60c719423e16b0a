package org.lovagevale.gateway;

import reactor.core.publisher.Mono;

/**
 * Reads what the platform publishes.
 *
 * <p>
 * Implementations are thread-safe.
 */
@FunctionalInterface
public interface CatalogSource {

	/**
	 * Reads everything.
	 * @return a state that was the newest at some moment after the call, or an error
	 */
	Mono<CatalogState> read();

}
