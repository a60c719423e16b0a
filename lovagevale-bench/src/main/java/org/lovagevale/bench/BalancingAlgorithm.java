package org.lovagevale.bench;

import java.util.SplittableRandom;

/**
 * A balancing rule that chooses a server using only the client's own requests in flight.
 *
 * <p>
 * Not thread-safe. Each client has its own instance.
 */
@FunctionalInterface
interface BalancingAlgorithm {

	/**
	 * Chooses a server.
	 * @param inFlight the client's requests in flight, by index of the server
	 * @return the index of the server
	 */
	int choose(int[] inFlight);

	/**
	 * Returns the rule that chooses servers at random.
	 * @param seed the seed
	 * @return the rule
	 */
	static BalancingAlgorithm random(long seed) {
		SplittableRandom random = new SplittableRandom(seed);
		return (inFlight) -> random.nextInt(inFlight.length);
	}

	/**
	 * Returns the rule that chooses servers in turn.
	 * @param first the index of the first server
	 * @return the rule
	 */
	static BalancingAlgorithm roundRobin(int first) {
		int[] next = { first };
		return (inFlight) -> Math.floorMod(next[0]++, inFlight.length);
	}

	/**
	 * Returns the rule that chooses the server with the fewest requests in flight. Ties
	 * are broken at random.
	 * @param seed the seed
	 * @return the rule
	 */
	static BalancingAlgorithm leastInFlight(long seed) {
		SplittableRandom random = new SplittableRandom(seed);
		return (inFlight) -> {
			int best = random.nextInt(inFlight.length);
			int offset = random.nextInt(inFlight.length);
			for (int i = 0; i < inFlight.length; i++) {
				int candidate = (i + offset) % inFlight.length;
				if (inFlight[candidate] < inFlight[best]) {
					best = candidate;
				}
			}
			return best;
		};
	}

	/**
	 * Returns the rule that picks two servers at random and chooses the one with fewer
	 * requests in flight.
	 * @param seed the seed
	 * @return the rule
	 */
	static BalancingAlgorithm twoChoices(long seed) {
		SplittableRandom random = new SplittableRandom(seed);
		return (inFlight) -> {
			int one = random.nextInt(inFlight.length);
			int other = random.nextInt(inFlight.length);
			return (inFlight[other] < inFlight[one]) ? other : one;
		};
	}

}
