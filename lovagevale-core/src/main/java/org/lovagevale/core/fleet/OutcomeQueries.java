package org.lovagevale.core.fleet;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.jspecify.annotations.Nullable;
import org.lovagevale.base.Clock;
import org.lovagevale.base.RandomSource;
import org.lovagevale.base.Region;
import org.lovagevale.base.VmName;
import org.lovagevale.core.Outcome;
import org.lovagevale.core.ProcessIdentity;
import org.lovagevale.core.keys.IdempotencyKey;
import org.lovagevale.core.keys.IdempotencyKeyStore;
import org.lovagevale.core.message.OutcomeAnswer;
import org.lovagevale.core.message.OutcomeQuery;

/**
 * Queries the owners of idempotency keys, or the holders of their archives, for outcomes.
 *
 * <p>
 * Invariant: only the owner of a key or an archive of its keys can establish that a
 * request did not run; without such an answer the outcome is unknown. Not thread-safe.
 */
final class OutcomeQueries {

	/** Time after which the outcome is unknown if no answer arrived. */
	static final long TIMEOUT_MS = 500;

	/** Time for which a query is kept after its deadline. */
	private static final long RETENTION_MS = 60_000;

	private final ProcessIdentity self;

	private final Clock clock;

	private final IdempotencyKeyStore keys;

	private final ActiveSettings activeSettings;

	private final Members members;

	private final KeyArchives archives;

	private final ArchiveHolders holders;

	private final PeerLinks peerLinks;

	private final Map<Long, Query> queries = new HashMap<>();

	private long nextId;

	OutcomeQueries(ProcessIdentity self, Clock clock, RandomSource random, IdempotencyKeyStore keys,
			ActiveSettings activeSettings, Members members, KeyArchives archives, PeerLinks peerLinks) {
		this.self = self;
		this.clock = clock;
		this.keys = keys;
		this.activeSettings = activeSettings;
		this.members = members;
		this.archives = archives;
		this.holders = new ArchiveHolders(self.vm(), activeSettings, members);
		this.peerLinks = peerLinks;
		// The initial value is random so that a restarted process does not accept answers
		// meant for its predecessor.
		this.nextId = random.nextLong() >>> 1;
	}

	/**
	 * Starts a query, which is answered at once if this process knows the outcome.
	 * @param key the key
	 * @param regions the home regions of the request, empty for all regions
	 * @return the identifier of the query
	 */
	long submit(IdempotencyKey key, Set<Region> regions) {
		long id = this.nextId++;
		Outcome known = localOutcome(key);
		Query query = new Query(key, this.clock.millis() + TIMEOUT_MS, known);
		this.queries.put(id, query);
		if (known == null) {
			send(id, query, regions);
		}
		return id;
	}

	/**
	 * Returns the answer to a query.
	 * @param id the identifier of the query
	 * @return the outcome, or {@code null} while the answer is pending
	 */
	@Nullable Outcome outcomeOf(long id) {
		Query query = this.queries.get(id);
		if (query == null) {
			return Outcome.UNKNOWN;
		}
		if (query.outcome == null && this.clock.millis() >= query.deadline) {
			query.outcome = Outcome.UNKNOWN;
		}
		return query.outcome;
	}

	void receiveAnswer(VmName from, OutcomeAnswer answer) {
		Outcome outcome = Outcome.valueOf(answer.outcome());
		Query query = this.queries.get(answer.id());
		if (query == null || query.outcome != null || !query.key.toString().equals(answer.key())
				|| !query.unanswered.remove(from)) {
			return;
		}
		if (outcome != Outcome.UNKNOWN || query.unanswered.isEmpty()) {
			query.outcome = outcome;
		}
	}

	/**
	 * Answers a query of a peer from the keys of this process or from a stored archive.
	 * @param from the peer
	 * @param query the query
	 * @throws IllegalArgumentException if the key is malformed
	 */
	void answer(VmName from, OutcomeQuery query) {
		Outcome known = localOutcome(IdempotencyKey.parse(query.key()));
		Outcome outcome = (known != null) ? known : Outcome.UNKNOWN;
		this.peerLinks.send(from, new OutcomeAnswer(query.id(), query.key(), outcome.name()));
	}

	void expire() {
		long now = this.clock.millis();
		this.queries.values().removeIf((query) -> now - query.deadline > RETENTION_MS);
	}

	private @Nullable Outcome localOutcome(IdempotencyKey key) {
		boolean isOwn = key.vm().equals(this.self.vm()) && key.incarnation().equals(this.self.incarnation());
		return isOwn ? this.keys.resolveOutcome(key) : this.archives.outcome(key);
	}

	private void send(long id, Query query, Set<Region> regions) {
		List<String> regionNames = regions.stream().sorted().map(Region::value).toList();
		for (VmName peer : peersToQuery(query.key)) {
			if (this.activeSettings.isInHomeRegions(peer, regions)) {
				query.unanswered.add(peer);
				this.peerLinks.send(peer, new OutcomeQuery(id, query.key.toString(), regionNames));
			}
		}
		if (query.unanswered.isEmpty()) {
			query.outcome = Outcome.UNKNOWN;
		}
	}

	private List<VmName> peersToQuery(IdempotencyKey key) {
		Member owner = this.members.find(key.vm());
		boolean isOwnerReachable = owner != null && owner.incarnation().equals(key.incarnation())
				&& this.members.isReachableWithin(owner, this.activeSettings.exchange().unreachableMs());
		return isOwnerReachable ? List.of(key.vm()) : this.holders.choose(key.vm(), key.incarnation());
	}

	/**
	 * A query, with its outcome once that is known.
	 */
	private static final class Query {

		private final IdempotencyKey key;

		private final long deadline;

		// The peers that were queried and have not answered yet.
		private final Set<VmName> unanswered = new HashSet<>();

		private @Nullable Outcome outcome;

		Query(IdempotencyKey key, long deadline, @Nullable Outcome outcome) {
			this.key = key;
			this.deadline = deadline;
			this.outcome = outcome;
		}

	}

}
