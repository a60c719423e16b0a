package org.lovagevale.node.http;

import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import org.jspecify.annotations.Nullable;
import org.lovagevale.base.Clock;
import org.lovagevale.core.FailureKind;
import org.lovagevale.core.decision.Dispatch;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.netty.Connection;
import reactor.netty.channel.ChannelOperations;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;

/**
 * One attempt to run a request on a backend server. Sends the request once and reports
 * the result.
 *
 * <p>
 * Invariant: {@link FailureKind#NOT_CONNECTED} is reported only if no byte was written
 * and none will be written: the transition to {@link Stage#WRITING} and the one to
 * {@link Stage#CLOSED} are mutually exclusive. A closed attempt reports nothing more, and
 * its connection is reused only if the whole response was received. Methods and callbacks
 * to the listener run on the event loop of the caller's connection.
 */
final class HttpAttempt {

	/**
	 * Largest response body in bytes that is read and dropped so that its connection can
	 * be reused.
	 */
	private static final int MAX_SKIPPED_BYTES = 65_536;

	private final Dispatch dispatch;

	private final EventLoop loop;

	private final Clock clock;

	private final Listener listener;

	private final AtomicReference<Stage> stage = new AtomicReference<>(Stage.WAITING);

	private final Disposable.Swap subscription = Disposables.swap();

	private final Sinks.Empty<Void> bodyConsumed = Sinks.empty();

	private volatile @Nullable Connection connection;

	private volatile @Nullable Channel channel;

	private volatile boolean requestSent;

	private volatile boolean pastDeadline;

	private volatile long firstWriteNanos;

	private @Nullable HttpClientResponse response;

	private @Nullable Disposable timer;

	private boolean bodyTaken;

	HttpAttempt(Dispatch dispatch, EventLoop loop, Clock clock, Listener listener) {
		this.dispatch = dispatch;
		this.loop = loop;
		this.clock = clock;
		this.listener = listener;
	}

	/**
	 * Sends the request.
	 * @param client a client for the server
	 * @param method the HTTP method
	 * @param uri the path with query
	 * @param headers the headers for the server
	 * @param body the body, or null if the request has none
	 */
	void start(HttpClient client, HttpMethod method, String uri, HttpHeaders headers, @Nullable Flux<ByteBuf> body) {
		long delay = Math.max(1, this.dispatch.timeoutMs());
		this.timer = toDisposable(this.loop.schedule(this::timedOut, delay, TimeUnit.MILLISECONDS));
		Disposable running = client.doOnRequest((request, opened) -> beforeWrite(opened))
			.doAfterRequest((request, opened) -> this.requestSent = true)
			.headers((target) -> target.set(headers))
			.request(method)
			.uri(uri)
			.send((request, out) -> (body != null) ? out.send(body) : Mono.empty())
			.responseConnection((head, opened) -> {
				this.loop.execute(() -> headArrived(head, opened));
				return this.bodyConsumed.asMono();
			})
			.subscribe((ignored) -> {
			}, (error) -> this.loop.execute(this::connectionLost));
		this.subscription.update(running);
	}

	private static Disposable toDisposable(Future<?> future) {
		return () -> future.cancel(false);
	}

	// Runs on the event loop of the server connection, immediately before the first
	// write.
	private void beforeWrite(Connection opened) {
		this.channel = opened.channel();
		this.connection = opened;
		if (this.clock.epochMillis() >= this.dispatch.deadlineEpochMillis()) {
			this.pastDeadline = true;
			opened.channel().close();
			return;
		}
		// A closed channel never becomes active again, so nothing can be written to it.
		boolean isOpen = opened.channel().isActive();
		if (!isOpen || !this.stage.compareAndSet(Stage.WAITING, Stage.WRITING)) {
			opened.channel().close();
			return;
		}
		this.firstWriteNanos = System.nanoTime();
	}

	private void headArrived(HttpClientResponse head, Connection opened) {
		if (isClosed()) {
			releaseUnread(opened);
			close(opened);
			return;
		}
		this.response = head;
		if (!this.requestSent) {
			// The rest of the request may still be in transit when the response ends, so
			// the connection must not be reused.
			opened.markPersistent(false);
		}
		this.listener.headArrived(this, head);
	}

	/**
	 * Returns the response body. May be called once only.
	 * @return the body, which ends with an error if it is incomplete
	 */
	Flux<ByteBuf> body() {
		Connection opened = this.connection;
		if (opened == null || this.bodyTaken) {
			return Flux.error(new IllegalStateException("the response has no unread body"));
		}
		this.bodyTaken = true;
		return opened.inbound().receive().retain();
	}

	/**
	 * Reads and drops the body of a response that is not forwarded, so that its
	 * connection can be reused. The connection is closed instead if the body has more
	 * than {@value #MAX_SKIPPED_BYTES} bytes.
	 */
	void skipBody() {
		Connection opened = this.connection;
		if (opened == null || this.bodyTaken || isClosed()) {
			return;
		}
		this.bodyTaken = true;
		opened.inbound()
			.receive()
			.map(ByteBuf::readableBytes)
			.scan(Integer::sum)
			.takeUntil((total) -> total > MAX_SKIPPED_BYTES)
			.subscribe((total) -> {
			}, (error) -> cancel(), this::cancel);
	}

	/**
	 * Ends the attempt after its whole response was received.
	 */
	void complete() {
		this.stage.set(Stage.CLOSED);
		cancelTimer();
		this.bodyConsumed.tryEmitEmpty();
	}

	/**
	 * Cancels the attempt and closes its connection.
	 */
	void cancel() {
		if (this.stage.getAndSet(Stage.CLOSED) != Stage.CLOSED) {
			closeConnection();
		}
	}

	boolean isClosed() {
		return this.stage.get() == Stage.CLOSED;
	}

	int number() {
		return this.dispatch.attempt();
	}

	Dispatch dispatch() {
		return this.dispatch;
	}

	long firstWriteNanos() {
		return this.firstWriteNanos;
	}

	@Nullable HttpClientResponse response() {
		return this.response;
	}

	private void timedOut() {
		fail(FailureKind.TIMED_OUT);
	}

	private void connectionLost() {
		fail(FailureKind.LOST_BEFORE_HEAD);
	}

	/**
	 * Fails the attempt unless it is closed already.
	 * @param kind the kind of failure to report if the request was written and no
	 * response head arrived
	 */
	void fail(FailureKind kind) {
		Stage before = this.stage.getAndSet(Stage.CLOSED);
		if (before == Stage.CLOSED) {
			return;
		}
		closeConnection();
		this.listener.failed(this, failureKind(before, kind));
	}

	private FailureKind failureKind(Stage before, FailureKind kind) {
		if (before == Stage.WAITING) {
			// The deadline passed in this process, so the server must not be considered
			// unreachable.
			return this.pastDeadline ? FailureKind.TIMED_OUT : FailureKind.NOT_CONNECTED;
		}
		if (this.bodyTaken || (this.response != null && kind != FailureKind.TIMED_OUT)) {
			return FailureKind.LOST_IN_BODY;
		}
		return kind;
	}

	private void closeConnection() {
		cancelTimer();
		Connection opened = this.connection;
		if (opened != null) {
			if (this.response != null && !this.bodyTaken) {
				releaseUnread(opened);
			}
			close(opened);
		}
		this.subscription.dispose();
		this.bodyConsumed.tryEmitEmpty();
	}

	// The buffers of an unread body are released only once a subscriber has been
	// attached.
	private static void releaseUnread(Connection opened) {
		opened.inbound().receive().subscribe((chunk) -> {
		}, (error) -> {
		}).dispose();
	}

	// After the whole response was received, the pool may have assigned the channel to
	// another request, which must not lose it. The check and the close run on the event
	// loop of the channel, as does that assignment.
	private void close(Connection opened) {
		Channel used = this.channel;
		if (used != null) {
			used.eventLoop().execute(() -> {
				if (ChannelOperations.get(used) == opened) {
					used.close();
				}
			});
		}
	}

	private void cancelTimer() {
		if (this.timer != null) {
			this.timer.dispose();
		}
	}

	/**
	 * The progress of an attempt.
	 */
	private enum Stage {

		/** Waiting for a connection; nothing has been written. */
		WAITING,

		/** Bytes of the request may have been written. */
		WRITING,

		/** Closed; nothing more is written. */
		CLOSED

	}

	/**
	 * Receives the events of an attempt.
	 */
	interface Listener {

		/**
		 * Called when the head of the response has arrived.
		 * @param attempt the attempt
		 * @param response the head
		 */
		void headArrived(HttpAttempt attempt, HttpClientResponse response);

		/**
		 * Called when the attempt has failed; it is closed by then.
		 * @param attempt the attempt
		 * @param kind the kind of failure
		 */
		void failed(HttpAttempt attempt, FailureKind kind);

	}

}
