package org.lovagevale.settings;

/**
 * Checks of a policy that concern more than one value.
 *
 * <p>
 * Not thread-safe.
 */
final class PolicyChecks {

	private final ErrorList errors;

	PolicyChecks(ErrorList errors) {
		this.errors = errors;
	}

	/**
	 * Checks the effective policy of a service.
	 * @param policy the policy
	 */
	void checkService(Values policy) {
		if (policy.number("coldConcurrency") > policy.number("slots")) {
			this.errors.add(givenOf(policy, "coldConcurrency", "slots"), "coldConcurrency is "
					+ policy.number("coldConcurrency") + ", but at most slots, which is " + policy.number("slots"));
		}
	}

	/**
	 * Reports settings on a route that concern the service as a whole and would be
	 * ignored.
	 * @param policy the policy of a route as in the tree
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
			this.errors.add(givenOf(values, longer, shorter), longer + " is " + values.number(longer)
					+ " ms, but must be longer than " + shorter + ", which is " + values.number(shorter) + " ms");
		}
	}

	/**
	 * Checks that a window for cold servers leaves time for work.
	 * @param exchange the effective values of the exchange
	 * @param measuring the effective values of measuring
	 */
	void checkColdWindow(Values exchange, Values measuring) {
		long reserved = exchange.number("clockSkewMs") + measuring.number("coldMinimumMs");
		if (measuring.number("coldWindowMs") <= reserved) {
			Location own = givenOf(measuring, "coldWindowMs", "coldMinimumMs");
			this.errors.add(own.isBuiltIn() ? exchange.get("clockSkewMs").origins().getFirst() : own,
					"coldWindowMs is " + measuring.number("coldWindowMs")
							+ " ms, but must be longer than clockSkewMs and coldMinimumMs together, which are "
							+ reserved + " ms");
		}
	}

	private static Location givenOf(Values values, String first, String second) {
		Location origin = values.get(first).origins().getFirst();
		return origin.isBuiltIn() ? values.get(second).origins().getFirst() : origin;
	}

}
