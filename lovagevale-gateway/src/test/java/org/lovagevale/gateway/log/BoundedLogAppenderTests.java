package org.lovagevale.gateway.log;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.LoggingEvent;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a log that uses up the heap while its output is not read, and against
 * one that stays silent after an error of its output.
 */
@Timeout(60)
class BoundedLogAppenderTests {

	private static final int LINE_CHARS = 10_000;

	private static final int LINES = 1_000;

	private static final int MAX_WRITTEN_CHARS = 2_000_000;

	private static final long TIMEOUT_MS = 15_000;

	private final ByteArrayOutputStream written = new ByteArrayOutputStream();

	@Test
	void longLinesThatNobodyReadsAreDropped() throws Exception {
		CountDownLatch readable = new CountDownLatch(1);
		BoundedLogAppender appender = start(blockedUntil(readable));
		for (int i = 0; i < LINES; i++) {
			log(appender, "x".repeat(LINE_CHARS));
		}
		readable.countDown();
		awaitWritten("event=log.dropped");
		log(appender, "event=last");
		awaitWritten("event=last");
		assertThat(written().length()).isLessThan(MAX_WRITTEN_CHARS);
	}

	@Test
	void linesAfterAFailedWriteAreWritten() throws Exception {
		CountDownLatch failed = new CountDownLatch(1);
		BoundedLogAppender appender = start(new OutputStream() {

			@Override
			public void write(int value) {
				throw new UnsupportedOperationException();
			}

			@Override
			public void write(byte[] bytes, int offset, int length) throws IOException {
				if (failed.getCount() > 0) {
					failed.countDown();
					throw new IOException("Resource temporarily unavailable");
				}
				record(bytes, offset, length);
			}

		});
		log(appender, "event=first");
		failed.await();
		log(appender, "event=last");
		awaitWritten("event=last");
		assertThat(written()).contains("event=log.dropped lines=1").doesNotContain("event=first");
	}

	@Test
	void waitForQueuedLinesEndsWhenTheyAreWritten() throws Exception {
		CountDownLatch readable = new CountDownLatch(1);
		BoundedLogAppender appender = start(blockedUntil(readable));
		log(appender, "event=last");
		assertThat(appender.awaitWritten(20)).isFalse();
		readable.countDown();
		assertThat(appender.awaitWritten(TIMEOUT_MS)).isTrue();
		assertThat(written()).contains("event=last");
	}

	private OutputStream blockedUntil(CountDownLatch readable) {
		return new OutputStream() {

			@Override
			public void write(int value) {
				throw new UnsupportedOperationException();
			}

			@Override
			public void write(byte[] bytes, int offset, int length) throws IOException {
				try {
					readable.await();
				}
				catch (InterruptedException ex) {
					throw new IOException(ex);
				}
				record(bytes, offset, length);
			}

		};
	}

	private static BoundedLogAppender start(OutputStream out) {
		BoundedLogAppender appender = new BoundedLogAppender(out);
		appender.setContext(new LoggerContext());
		appender.start();
		return appender;
	}

	private static void log(BoundedLogAppender appender, String message) {
		LoggingEvent event = new LoggingEvent();
		event.setLevel(Level.INFO);
		event.setTimeStamp(0);
		event.setMessage(message);
		appender.doAppend(event);
	}

	private synchronized void record(byte[] bytes, int offset, int length) {
		this.written.write(bytes, offset, length);
	}

	private synchronized String written() {
		return this.written.toString(StandardCharsets.UTF_8);
	}

	private void awaitWritten(String text) throws InterruptedException {
		long deadline = System.currentTimeMillis() + TIMEOUT_MS;
		while (!written().contains(text) && System.currentTimeMillis() < deadline) {
			Thread.sleep(5);
		}
		assertThat(written().contains(text)).as(text).isTrue();
	}

}
