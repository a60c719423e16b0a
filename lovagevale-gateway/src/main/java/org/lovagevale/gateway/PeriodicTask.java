package org.lovagevale.gateway;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A task that is run periodically and logs its failures.
 *
 * <p>
 * Invariant: {@link #run()} throws nothing, since an executor cancels a periodic task
 * that does. Thread-safe if the wrapped task is.
 */
public final class PeriodicTask implements Runnable {

	private static final Logger LOGGER = LoggerFactory.getLogger(PeriodicTask.class);

	private final Runnable task;

	/**
	 * Creates a task.
	 * @param task the work to do
	 */
	public PeriodicTask(Runnable task) {
		this.task = task;
	}

	@Override
	public void run() {
		try {
			this.task.run();
		}
		catch (RuntimeException | Error ex) {
			LOGGER.error("event=task.failed", ex);
		}
	}

}
