package org.lovagevale.gateway.fleet;

import org.lovagevale.base.ServiceName;
import org.lovagevale.core.placing.HedgeRefusal;

/**
 * Observes the decisions of the dispatcher of this process on hedged requests.
 *
 * <p>
 * Called on the event loop.
 */
public interface HedgeObserver {

	/** Ignores all decisions. */
	HedgeObserver NONE = new HedgeObserver() {

		@Override
		public void offered(ServiceName service) {
			// Nothing is observed.
		}

		@Override
		public void refused(ServiceName service, HedgeRefusal cause) {
			// Nothing is observed.
		}

	};

	/**
	 * Called when a second slot is offered.
	 * @param service the service
	 */
	void offered(ServiceName service);

	/**
	 * Called when an attempt has ended that was late and was not hedged.
	 * @param service the service
	 * @param cause the last reason
	 */
	void refused(ServiceName service, HedgeRefusal cause);

}
