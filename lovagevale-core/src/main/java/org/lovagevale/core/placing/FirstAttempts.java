package org.lovagevale.core.placing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

import org.jspecify.annotations.Nullable;
import org.lovagevale.base.ServerName;

/**
 * The first attempts at the servers of one service that may be hedged, and the limit on
 * hedged requests of the service.
 *
 * <p>
 * Not thread-safe.
 */
final class FirstAttempts {

	private final Map<ServerName, Map<SlotId, FirstAttempt>> byServer = new HashMap<>();

	/** The attempts that are to be hedged as soon as that is permitted. */
	private final Set<FirstAttempt> late = new LinkedHashSet<>();

	private final HedgeLimit limit;

	FirstAttempts(HedgeLimit limit) {
		this.limit = limit;
	}

	HedgeLimit limit() {
		return this.limit;
	}

	boolean isEmpty() {
		return this.byServer.isEmpty();
	}

	void add(FirstAttempt attempt) {
		this.byServer.computeIfAbsent(attempt.server().instance().id(), (id) -> new LinkedHashMap<>())
			.put(attempt.request().id(), attempt);
	}

	Collection<FirstAttempt> at(ServerName server) {
		return this.byServer.getOrDefault(server, Map.of()).values();
	}

	void markLate(FirstAttempt attempt) {
		this.late.add(attempt);
	}

	List<FirstAttempt> late() {
		return List.copyOf(this.late);
	}

	List<FirstAttempt> all() {
		List<FirstAttempt> attempts = new ArrayList<>();
		this.byServer.values().forEach((atServer) -> attempts.addAll(atServer.values()));
		return attempts;
	}

	/**
	 * Removes an attempt.
	 * @param id the slot request
	 * @param server the server of the attempt
	 * @return the attempt, or {@code null} if it is not followed
	 */
	@Nullable FirstAttempt remove(SlotId id, ServerName server) {
		Map<SlotId, FirstAttempt> atServer = this.byServer.get(server);
		FirstAttempt removed = (atServer != null) ? atServer.remove(id) : null;
		if (atServer != null && atServer.isEmpty()) {
			this.byServer.remove(server);
		}
		if (removed != null) {
			this.late.remove(removed);
		}
		return removed;
	}

	void removeIf(Predicate<FirstAttempt> filter) {
		this.byServer.values().forEach((atServer) -> atServer.values().removeIf(filter));
		this.byServer.values().removeIf(Map::isEmpty);
		this.late.removeIf(filter);
	}

}
