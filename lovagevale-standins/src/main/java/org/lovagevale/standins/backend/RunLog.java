package org.lovagevale.standins.backend;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * Records the runs on a group of servers, so that tests can detect duplicate runs.
 *
 * <p>
 * The counts by key and by request cover all runs since the last {@link #clear()}, but
 * only the latest {@link #MAX_RUNS} runs themselves are kept. Thread-safe.
 */
public final class RunLog {

	/** The maximum number of runs that are kept. */
	public static final int MAX_RUNS = 100_000;

	private final Deque<Run> runs = new ArrayDeque<>();

	private final Map<String, Integer> countsByKey = new HashMap<>();

	private final Map<String, Integer> countsByRequest = new HashMap<>();

	private long total;

	synchronized void add(Run run) {
		this.total++;
		this.runs.addLast(run);
		if (this.runs.size() > MAX_RUNS) {
			this.runs.removeFirst();
		}
		increment(this.countsByKey, run.key());
		increment(this.countsByRequest, run.requestId());
	}

	/**
	 * Returns the number of all runs, including those no longer kept.
	 * @return the number of runs since the start or the last {@link #clear()}
	 */
	public synchronized long total() {
		return this.total;
	}

	/**
	 * Returns the number of runs with an idempotency key.
	 * @param key the idempotency key
	 * @return the number of runs
	 */
	public synchronized int runsOfKey(String key) {
		return this.countsByKey.getOrDefault(key, 0);
	}

	/**
	 * Returns the number of runs of a request.
	 * @param requestId the request identifier
	 * @return the number of runs
	 */
	public synchronized int runsOfRequest(String requestId) {
		return this.countsByRequest.getOrDefault(requestId, 0);
	}

	/**
	 * Returns the idempotency keys that ran more than once.
	 * @return the number of runs by key, in order of key
	 */
	public synchronized Map<String, Integer> duplicateKeys() {
		return duplicates(this.countsByKey);
	}

	/**
	 * Returns the requests that ran more than once. This is allowed for idempotent
	 * requests.
	 * @return the number of runs by request identifier, in order of identifier
	 */
	public synchronized Map<String, Integer> duplicateRequests() {
		return duplicates(this.countsByRequest);
	}

	/**
	 * Returns the kept runs that match a filter.
	 * @param filter the condition that the runs match
	 * @return the runs, the oldest first
	 */
	public synchronized List<Run> find(Predicate<Run> filter) {
		return this.runs.stream().filter(filter).toList();
	}

	/**
	 * Removes all runs and counts.
	 */
	public synchronized void clear() {
		this.total = 0;
		this.runs.clear();
		this.countsByKey.clear();
		this.countsByRequest.clear();
	}

	private static void increment(Map<String, Integer> counts, String id) {
		if (!id.isEmpty()) {
			counts.merge(id, 1, Integer::sum);
		}
	}

	private static Map<String, Integer> duplicates(Map<String, Integer> counts) {
		Map<String, Integer> result = new TreeMap<>();
		counts.forEach((id, count) -> {
			if (count > 1) {
				result.put(id, count);
			}
		});
		return result;
	}

}
