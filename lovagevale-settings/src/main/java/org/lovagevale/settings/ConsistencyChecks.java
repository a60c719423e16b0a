package org.lovagevale.settings;

/**
 * Checks that depend on several values or on the place of a value in the tree.
 *
 * <p>
 * Not thread-safe.
 */
final class ConsistencyChecks {

	private final ErrorList errors;

	ConsistencyChecks(ErrorList errors) {
		this.errors = errors;
	}

	/**
	 * Checks that {@code coldConcurrency} does not exceed {@code slots}.
	 * @param policy the effective policy of a service
	 */
	void checkColdConcurrency(Values policy) {
		if (policy.number("coldConcurrency") > policy.number("slots")) {
			this.errors.add(explicitOriginOf(policy, "coldConcurrency", "slots"), "coldConcurrency is "
					+ policy.number("coldConcurrency") + ", but at most slots, which is " + policy.number("slots"));
		}
	}

	/**
	 * Reports settings in the policy of a route that apply only to a service as a whole
	 * and would have no effect on the route.
	 * @param policy the "policy" member of a route
	 */
	void checkRoutePolicy(TreeObject policy) {
		policy.members().forEach((name, node) -> {
			if (SettingsTable.POLICY.setting(name).filter(Setting::serviceOnly).isPresent()) {
				this.errors.add(node.location(), "cannot be set on a route; set it on the service");
			}
		});
	}

	/**
	 * Checks that one duration is longer than another.
	 * @param values the effective values
	 * @param shorter the name of the setting that must be shorter
	 * @param longer the name of the setting that must be longer
	 */
	void checkLonger(Values values, String shorter, String longer) {
		if (values.number(shorter) >= values.number(longer)) {
			this.errors.add(explicitOriginOf(values, longer, shorter), longer + " is " + values.number(longer)
					+ " ms, but must be longer than " + shorter + ", which is " + values.number(shorter) + " ms");
		}
	}

	/**
	 * Checks that the time window for which one VM owns a cold server is longer than the
	 * clock skew and the minimum time for new work together.
	 * @param exchange the effective values of the group "exchange"
	 * @param measuring the effective values of the group "measuring"
	 */
	void checkColdWindow(Values exchange, Values measuring) {
		long lowerBoundMs = exchange.number("clockSkewMs") + measuring.number("coldMinimumMs");
		if (measuring.number("coldWindowMs") <= lowerBoundMs) {
			Location origin = explicitOriginOf(measuring, "coldWindowMs", "coldMinimumMs");
			this.errors.add(origin.isBuiltIn() ? exchange.get("clockSkewMs").origins().getFirst() : origin,
					"coldWindowMs is " + measuring.number("coldWindowMs")
							+ " ms, but must be longer than clockSkewMs and coldMinimumMs together, which are "
							+ lowerBoundMs + " ms");
		}
	}

	// Returns the origin of the first of two values that the tree sets, or the built-in
	// origin if it sets neither.
	private static Location explicitOriginOf(Values values, String first, String second) {
		Location origin = values.get(first).origins().getFirst();
		return origin.isBuiltIn() ? values.get(second).origins().getFirst() : origin;
	}

}
