package org.lovagevale.gateway.log;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.IThrowableProxy;
import ch.qos.logback.core.AppenderBase;

/**
 * Writes log lines to standard output without blocking the logging thread.
 *
 * <p>
 * Invariant: at most {@link #QUEUE_CAPACITY} lines with together at most
 * {@link #MAX_QUEUED_CHARS} characters are queued. Further lines and those of a batch
 * that could not be written are dropped and counted, and their number is written with the
 * next batch of lines. Thread-safe.
 */
public final class BoundedLogAppender extends AppenderBase<ILoggingEvent> {

	/** Maximum number of queued log lines. */
	public static final int QUEUE_CAPACITY = 4_096;

	/**
	 * Maximum number of characters in all queued lines. Lines contain values that callers
	 * choose, and 4,096 lines of 15 KB used up a heap of 48 MB.
	 */
	static final int MAX_QUEUED_CHARS = 1_000_000;

	/** Number of characters from which a batch of lines is written. */
	private static final int BATCH_CHARS = 32_768;

	/** Delay after a failed write, in milliseconds. */
	private static final long RETRY_DELAY_MS = 200;

	private static final long POLL_INTERVAL_MS = 2;

	private final AtomicInteger queuedChars = new AtomicInteger();

	private final ArrayBlockingQueue<String> queue = new ArrayBlockingQueue<>(QUEUE_CAPACITY);

	private final AtomicLong dropped = new AtomicLong();

	private final OutputStream out;

	/**
	 * Creates an appender that writes to standard output.
	 */
	public BoundedLogAppender() {
		this(new FileOutputStream(FileDescriptor.out));
	}

	/**
	 * Creates an appender.
	 * @param out receives the lines
	 */
	BoundedLogAppender(OutputStream out) {
		this.out = out;
	}

	@Override
	public void start() {
		Thread writer = new Thread(this::writeLines, "log");
		writer.setDaemon(true);
		writer.start();
		super.start();
	}

	@Override
	protected void append(ILoggingEvent event) {
		String line = formatLine(event);
		boolean fits = this.queuedChars.addAndGet(line.length()) <= MAX_QUEUED_CHARS;
		if (!fits || !this.queue.offer(line)) {
			this.queuedChars.addAndGet(-line.length());
			this.dropped.incrementAndGet();
		}
	}

	/**
	 * Waits until all queued lines have been written or dropped, but no longer than a
	 * timeout.
	 * @param timeoutMs the timeout in milliseconds
	 * @return whether no line is left
	 * @throws InterruptedException if the thread is interrupted
	 */
	public boolean awaitWritten(long timeoutMs) throws InterruptedException {
		long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
		while (this.queuedChars.get() > 0) {
			if (System.nanoTime() - deadlineNanos >= 0) {
				return false;
			}
			Thread.sleep(POLL_INTERVAL_MS);
		}
		return true;
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
				writeBatch(this.queue.take());
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void writeBatch(String first) throws InterruptedException {
		long droppedLines = this.dropped.getAndSet(0);
		StringBuilder batch = new StringBuilder(first);
		int lines = 1;
		while (batch.length() < BATCH_CHARS) {
			String next = this.queue.poll();
			if (next == null) {
				break;
			}
			batch.append(next);
			lines++;
		}
		int chars = batch.length();
		if (droppedLines > 0) {
			batch.append("ts=").append(Instant.now()).append(" level=WARN event=log.dropped lines=");
			batch.append(droppedLines).append('\n');
		}
		try {
			this.out.write(batch.toString().getBytes(StandardCharsets.UTF_8));
		}
		catch (IOException ex) {
			// The output may accept lines again later, such as a full non-blocking pipe.
			this.dropped.addAndGet(droppedLines + lines);
			addError("cannot write log lines to standard output", ex);
			Thread.sleep(RETRY_DELAY_MS);
		}
		finally {
			this.queuedChars.addAndGet(-chars);
		}
	}

}
