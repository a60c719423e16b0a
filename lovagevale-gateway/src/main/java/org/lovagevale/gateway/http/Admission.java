package org.lovagevale.gateway.http;

import org.jspecify.annotations.Nullable;
import org.lovagevale.core.catalog.ClientAccount;
import org.lovagevale.core.catalog.Route;

/**
 * The result of the authentication of a request.
 *
 * <p>
 * Immutable and thread-safe.
 */
sealed interface Admission {

	/**
	 * The request may be handled.
	 *
	 * @param route the route as it applies to the account
	 * @param account the account; {@code null} if the request needs no credential
	 */
	record Admitted(Route route, @Nullable ClientAccount account) implements Admission {

		Denied denied(DenialCause cause) {
			return new Denied(cause, (this.account != null) ? this.account.name().value() : "");
		}

	}

	/**
	 * The request must not be handled.
	 *
	 * @param cause the cause
	 * @param account the name of the account, empty if it is not known
	 */
	record Denied(DenialCause cause, String account) implements Admission {
	}

}
