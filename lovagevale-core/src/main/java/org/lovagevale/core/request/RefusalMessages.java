package org.lovagevale.core.request;

import org.lovagevale.core.Outcome;
import org.lovagevale.core.RefusalReason;

/**
 * Human-readable messages for refusals.
 *
 * <p>
 * Thread-safe.
 */
final class RefusalMessages {

	private RefusalMessages() {
	}

	/**
	 * Returns the message for a refusal.
	 * @param reason the reason for the refusal
	 * @param outcome the known outcome of the request
	 * @return the cause of the refusal, followed by whether the request ran
	 */
	static String of(RefusalReason reason, Outcome outcome) {
		return cause(reason) + " " + advice(outcome);
	}

	private static String cause(RefusalReason reason) {
		return switch (reason) {
			case NO_SUCH_SERVICE -> "No service serves this method and path.";
			case NO_SUCH_ACCOUNT -> "The client account is not known.";
			case OUTSIDE_HOME_REGIONS ->
				"This address is outside the home regions; look up addresses for the service and account.";
			case KEY_REQUIRED -> "The request needs an idempotency key; look up addresses to get a key prefix.";
			case KEY_MALFORMED -> "The idempotency key must be a key prefix followed by a unique part.";
			case KEY_OF_OTHER_VM -> "The idempotency key belongs to another address or an earlier run.";
			case KEY_OWNER_UNREACHABLE -> "The owner of the idempotency key cannot be reached.";
			case KEY_REUSED -> "The idempotency key was used for a different request.";
			case KEY_RUNNING -> "The request with this idempotency key is running.";
			case KEY_ENDED -> "The request with this idempotency key has ended.";
			case KEY_EXPIRED -> "The idempotency key is too old.";
			case KEYS_FULL -> "No further idempotency key can be remembered.";
			case QUARANTINED -> "The request crashed backend servers and is quarantined.";
			case ON_TRIAL -> "The request may have crashed a backend server and is on trial.";
			case BODY_TOO_LARGE -> "The body is larger than the route allows.";
			case ACCOUNT_OVER_RATE -> "The client account sends more requests than its share.";
			case OVERLOADED -> "The service is overloaded.";
			case NO_SERVER -> "No backend server can take the request.";
			case DEADLINE_EXCEEDED -> "The deadline passed.";
			case SERVER_FAILED -> "The backend server failed.";
			case FENCED -> "This process may have outdated settings; use another address.";
			case STARTING -> "This process is starting; use another address.";
			case STOPPING -> "This process is stopping; use another address.";
		};
	}

	private static String advice(Outcome outcome) {
		return switch (outcome) {
			case NOT_RUN -> "The request did not run.";
			case UNKNOWN -> "The request may have run.";
			case RUNNING -> "The request is running; send it again later.";
			case RAN -> "The request ran.";
		};
	}

}
