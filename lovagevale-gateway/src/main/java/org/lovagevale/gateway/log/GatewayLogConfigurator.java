package org.lovagevale.gateway.log;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.core.spi.ContextAwareBase;
import org.slf4j.LoggerFactory;

/**
 * Configures Logback in code, which saves the time to parse a configuration file at
 * startup.
 *
 * <p>
 * Active only if the system property {@link #ENABLED_PROPERTY} is {@code true}.
 * Thread-safe.
 */
public final class GatewayLogConfigurator extends ContextAwareBase implements Configurator {

	/** Name of the system property that enables this configuration. */
	public static final String ENABLED_PROPERTY = "lovagevale.log.bounded";

	private static final String APPENDER_NAME = "out";

	/**
	 * Waits until all queued lines have been written or dropped, but no longer than a
	 * timeout. Returns at once if this configuration is not active.
	 * @param timeoutMs the timeout in milliseconds
	 * @throws InterruptedException if the thread is interrupted
	 */
	public static void awaitWritten(long timeoutMs) throws InterruptedException {
		if (LoggerFactory.getILoggerFactory() instanceof LoggerContext context
				&& context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME)
					.getAppender(APPENDER_NAME) instanceof BoundedLogAppender appender) {
			appender.awaitWritten(timeoutMs);
		}
	}

	@Override
	public ExecutionStatus configure(LoggerContext context) {
		if (!Boolean.getBoolean(ENABLED_PROPERTY)) {
			return ExecutionStatus.INVOKE_NEXT_IF_ANY;
		}
		BoundedLogAppender appender = new BoundedLogAppender();
		appender.setContext(context);
		appender.setName(APPENDER_NAME);
		appender.start();
		Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
		root.setLevel(Level.INFO);
		root.addAppender(appender);
		context.getLogger("io.netty").setLevel(Level.WARN);
		context.getLogger("reactor").setLevel(Level.ERROR);
		return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
	}

}
