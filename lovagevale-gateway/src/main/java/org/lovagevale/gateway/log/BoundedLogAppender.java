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
 * Invariant: at most {@link #QUEUE_CAPACITY} lines are queued. Further lines are dropped
 * and counted, and their number is written with the next batch of lines. Thread-safe.
 */
public final class BoundedLogAppender extends AppenderBase<ILoggingEvent> {

	/** Maximum number of queued log lines. */
	public static final int QUEUE_CAPACITY = 4_096;

	private final ArrayBlockingQueue<String> queue = new ArrayBlockingQueue<>(QUEUE_CAPACITY);

	private final AtomicLong dropped = new AtomicLong();

	private final OutputStream out = new FileOutputStream(FileDescriptor.out);

	@Override
	public void start() {
		Thread writer = new Thread(this::writeLines, "log");
		writer.setDaemon(true);
		writer.start();
		super.start();
	}

	@Override
	protected void append(ILoggingEvent event) {
		if (!this.queue.offer(formatLine(event))) {
			this.dropped.incrementAndGet();
		}
	}

	/**
	 * Returns the number of dropped lines whose number has not been written yet.
	 * @return the number of lines
	 */
	public long dropped() {
		return this.dropped.get();
	}

	private static String formatLine(ILoggingEvent event) {
		StringBuilder line = new StringBuilder(200);
		line.append("ts=").append(Instant.ofEpochMilli(event.getTimeStamp()));
		line.append(" level=").append(event.getLevel()).append(' ').append(event.getFormattedMessage());
		IThrowableProxy error = event.getThrowableProxy();
		if (error != null) {
			line.append(" exception=\"").append(error.getClassName()).append(": ");
			line.append(String.valueOf(error.getMessage()).replace('"', '\'').replace('\n', ' ')).append('"');
		}
		return line.append('\n').toString();
	}

	private void writeLines() {
		try {
			while (true) {
				StringBuilder batch = new StringBuilder(this.queue.take());
				for (String next = this.queue.poll(); next != null; next = this.queue.poll()) {
					batch.append(next);
				}
				long droppedLines = this.dropped.getAndSet(0);
				if (droppedLines > 0) {
					batch.append("ts=").append(Instant.now()).append(" level=WARN event=log.dropped lines=");
					batch.append(droppedLines).append('\n');
				}
				this.out.write(batch.toString().getBytes(StandardCharsets.UTF_8));
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		catch (IOException ex) {
			// Nothing can be logged any more, so the error is reported to Logback.
			addError("cannot write log lines to standard output", ex);
		}
	}

}
