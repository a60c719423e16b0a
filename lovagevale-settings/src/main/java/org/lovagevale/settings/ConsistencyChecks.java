package org.lovagevale.settings;

/**
 * Checks that involve more than one value.
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
	 * Checks the effective policy of a service.
	 * @param policy the policy
	 */
	void checkService(Values policy) {
		if (policy.number("coldConcurrency") > policy.number("slots")) {
			this.errors.add(explicitOriginOf(policy, "coldConcurrency", "slots"), "coldConcurrency is "
					+ policy.number("coldConcurrency") + ", but at most slots, which is " + policy.number("slots"));
		}
	}

	/**
	 * Reports settings that apply to a service as a whole; on a route, they would have no
	 * effect.
	 * @param policy the "policy" member of a route
	 */
	void checkRoute(TreeObject policy) {
		policy.members().forEach((name, node) -> {
			if (SettingsTable.POLICY.setting(name).filter(Setting::serviceOnly).isPresent()) {
				this.errors.add(node.location(), "cannot be set on a route; set it on the service");
			}
		});
	}

	/**
	 * Checks that one duration is longer than another.
	 * @param values the effective values
	 * @param shorter the name of the shorter one
	 * @param longer the name of the longer one
	 */
	void checkLonger(Values values, String shorter, String longer) {
		if (values.number(shorter) >= values.number(longer)) {
			this.errors.add(explicitOriginOf(values, longer, shorter), longer + " is " + values.number(longer)
					+ " ms, but must be longer than " + shorter + ", which is " + values.number(shorter) + " ms");
		}
	}

	/**
	 * Checks that the time window for cold servers is longer than the clock skew and the
	 * minimum time for new work together.
	 * @param exchange the effective values of the group "exchange"
	 * @param measuring the effective values of the group "measuring"
	 */
	void checkColdWindow(Values exchange, Values measuring) {
		long reserved = exchange.number("clockSkewMs") + measuring.number("coldMinimumMs");
		if (measuring.number("coldWindowMs") <= reserved) {
			Location origin = explicitOriginOf(measuring, "coldWindowMs", "coldMinimumMs");
			this.errors.add(origin.isBuiltIn() ? exchange.get("clockSkewMs").origins().getFirst() : origin,
					"coldWindowMs is " + measuring.number("coldWindowMs")
							+ " ms, but must be longer than clockSkewMs and coldMinimumMs together, which are "
							+ reserved + " ms");
		}
	}

	// The origin of the first value that the tree gives; built-in if it gives neither.
	private static Location explicitOriginOf(Values values, String first, String second) {
		Location origin = values.get(first).origins().getFirst();
		return origin.isBuiltIn() ? values.get(second).origins().getFirst() : origin;
	}

}
