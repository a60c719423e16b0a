package org.lovagevale.gateway.log;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.atomic.AtomicLong;

import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.IThrowableProxy;
import ch.qos.logback.core.AppenderBase;

/**
 * Writes log lines to standard output without blocking the logging thread.
 *
 * <p>
 * Invariant: at most {@link #CAPACITY} lines are queued. Further lines are dropped and
 * counted, and their number is written with the next batch of lines. Thread-safe.
 */
public final class BoundedLogAppender extends AppenderBase<ILoggingEvent> {

	/** Maximum number of queued log lines. */
	public static final int CAPACITY = 4_096;

	private final ArrayBlockingQueue<String> waiting = new ArrayBlockingQueue<>(CAPACITY);

	private final AtomicLong dropped = new AtomicLong();

	private final OutputStream out = new FileOutputStream(FileDescriptor.out);

	@Override
	public void start() {
		Thread writer = new Thread(this::write, "log");
		writer.setDaemon(true);
		writer.start();
		super.start();
	}

	@Override
	protected void append(ILoggingEvent event) {
		if (!this.waiting.offer(line(event))) {
			this.dropped.incrementAndGet();
		}
	}

	/**
	 * Returns the number of dropped lines that have not been reported yet.
	 * @return the number of lines
	 */
	public long dropped() {
		return this.dropped.get();
	}

	private static String line(ILoggingEvent event) {
		StringBuilder text = new StringBuilder(200);
		text.append("ts=").append(Instant.ofEpochMilli(event.getTimeStamp()));
		text.append(" level=").append(event.getLevel()).append(' ').append(event.getFormattedMessage());
		IThrowableProxy error = event.getThrowableProxy();
		if (error != null) {
			text.append(" exception=\"").append(error.getClassName()).append(": ");
			text.append(String.valueOf(error.getMessage()).replace('"', '\'').replace('\n', ' ')).append('"');
		}
		return text.append('\n').toString();
	}

	private void write() {
		try {
			while (true) {
				StringBuilder batch = new StringBuilder(this.waiting.take());
				for (String next = this.waiting.poll(); next != null; next = this.waiting.poll()) {
					batch.append(next);
				}
				long lost = this.dropped.getAndSet(0);
				if (lost > 0) {
					batch.append("ts=").append(Instant.now()).append(" level=WARN event=log.dropped lines=");
					batch.append(lost).append('\n');
				}
				this.out.write(batch.toString().getBytes(StandardCharsets.UTF_8));
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		catch (IOException ex) {
			// Standard output is closed, so the error can only be reported to Logback.
			addError("standard output is closed", ex);
		}
	}

}
