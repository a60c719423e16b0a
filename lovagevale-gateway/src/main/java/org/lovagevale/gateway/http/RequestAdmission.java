package org.lovagevale.gateway.http;

import org.jspecify.annotations.Nullable;
import org.lovagevale.core.catalog.AccountTable;
import org.lovagevale.core.catalog.ClientAccount;
import org.lovagevale.core.catalog.Route;
import org.lovagevale.core.catalog.ServingConfiguration;
import org.lovagevale.core.limit.AccountPolicy;

/**
 * Authenticates requests by their credentials.
 *
 * <p>
 * Invariant: the credential is looked up for each request, so a revoked one stops working
 * on open connections, too. Stateless and thread-safe.
 */
final class RequestAdmission {

	/**
	 * Age of the catalog above which an unknown credential may be a new one, in
	 * milliseconds. Callers do not retry after 401.
	 */
	static final long MAX_CERTAIN_AGE_MS = 2_000;

	private final AccountPolicy policy;

	RequestAdmission(AccountPolicy policy) {
		this.policy = policy;
	}

	/**
	 * Authenticates a request.
	 * @param credential the credential of the request, or {@code null} if there is none
	 * or more than one
	 * @param route the route of the request
	 * @param configuration the configuration in force
	 * @param catalogAgeMs the time since the catalog was last known to be current, in
	 * milliseconds
	 * @return the route as it applies to the account, or the cause of the denial
	 */
	Admission admit(@Nullable String credential, Route route, ServingConfiguration configuration, long catalogAgeMs) {
		AccountTable accounts = configuration.accounts();
		if (accounts == null || route.isPublic()) {
			return new Admission.Admitted(route, null);
		}
		if (credential == null) {
			return new Admission.Denied(DenialCause.NO_CREDENTIAL, "");
		}
		if (this.policy.strictRevocation() && catalogAgeMs >= this.policy.revocationMs()) {
			return new Admission.Denied(DenialCause.UNCONFIRMED_CATALOG, "");
		}
		ClientAccount account = accounts.find(credential);
		if (account == null) {
			boolean certain = catalogAgeMs <= MAX_CERTAIN_AGE_MS;
			return new Admission.Denied(certain ? DenialCause.UNKNOWN_CREDENTIAL : DenialCause.STALE_CATALOG, "");
		}
		Route accountRoute = route.forAccount(account);
		return (accountRoute != null) ? new Admission.Admitted(accountRoute, account)
				: new Admission.Denied(DenialCause.NO_COMMON_REGION, account.name().value());
	}

}
