package org.lovagevale.bench;

import java.util.SplittableRandom;

/**
 * A load balancing algorithm that chooses a server by nothing but the client's own
 * requests in flight.
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
	 * Returns the algorithm that chooses servers at random.
	 * @param seed the seed
	 * @return the algorithm
	 */
	static BalancingAlgorithm random(long seed) {
		SplittableRandom random = new SplittableRandom(seed);
		return (inFlight) -> random.nextInt(inFlight.length);
	}

	/**
	 * Returns the algorithm that chooses servers in round-robin order.
	 * @param first the index of the first server
	 * @return the algorithm
	 */
	static BalancingAlgorithm roundRobin(int first) {
		int[] next = { first };
		return (inFlight) -> Math.floorMod(next[0]++, inFlight.length);
	}

	/**
	 * Returns the algorithm that chooses the server with the fewest requests in flight.
	 * Ties are broken at random.
	 * @param seed the seed
	 * @return the algorithm
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
	 * Returns the algorithm that picks two servers at random and chooses the one with
	 * fewer requests in flight.
	 * @param seed the seed
	 * @return the algorithm
	 */
	static BalancingAlgorithm twoChoices(long seed) {
		SplittableRandom random = new SplittableRandom(seed);
		return (inFlight) -> {
			int first = random.nextInt(inFlight.length);
			int second = random.nextInt(inFlight.length);
			return (inFlight[second] < inFlight[first]) ? second : first;
		};
	}

}
