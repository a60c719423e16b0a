package org.lovagevale.bench;

import java.util.SplittableRandom;

/**
 * A rule that chooses a server by what one client knows: its own requests in flight.
 *
 * <p>
 * Not thread-safe; a client has its own.
 */
@FunctionalInterface
interface Rule {

	/**
	 * Chooses a server.
	 * @param inFlight the client's requests in flight, by server
	 * @return the index of the server
	 */
	int choose(int[] inFlight);

	/**
	 * Returns the rule that chooses at random.
	 * @param seed the seed
	 * @return the rule
	 */
	static Rule random(long seed) {
		SplittableRandom random = new SplittableRandom(seed);
		return (inFlight) -> random.nextInt(inFlight.length);
	}

	/**
	 * Returns the rule that takes servers in turns.
	 * @param first the first server
	 * @return the rule
	 */
	static Rule roundRobin(int first) {
		int[] next = { first };
		return (inFlight) -> Math.floorMod(next[0]++, inFlight.length);
	}

	/**
	 * Returns the rule that takes the server with the fewest requests in flight, at
	 * random among equals.
	 * @param seed the seed
	 * @return the rule
	 */
	static Rule leastInFlight(long seed) {
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
	 * Returns the rule that takes the better of two servers chosen at random.
	 * @param seed the seed
	 * @return the rule
	 */
	static Rule twoChoices(long seed) {
		SplittableRandom random = new SplittableRandom(seed);
		return (inFlight) -> {
			int one = random.nextInt(inFlight.length);
			int other = random.nextInt(inFlight.length);
			return (inFlight[other] < inFlight[one]) ? other : one;
		};
	}

}
