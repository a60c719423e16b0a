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
 * One attempt of a request on a backend server.
 *
 * <p>
 * Invariant: {@link FailureKind#NOT_CONNECTED} is reported only if no byte was written
 * and none will be: the transition to {@link Stage#WRITING} and the one to
 * {@link Stage#CLOSED} exclude each other. A closed attempt reports nothing, and its
 * connection is never reused. Methods and callbacks to the listener run on the event loop
 * of the caller's connection.
 */
final class Attempt {

	/** Longest body that is skipped to keep a connection. */
	private static final int MAX_SKIPPED_BYTES = 65_536;

	private final Dispatch dispatch;

	private final EventLoop loop;

	private final Clock clock;

	private final Listener listener;

	private final AtomicReference<Stage> stage = new AtomicReference<>(Stage.WAITING);

	private final Disposable.Swap subscription = Disposables.swap();

	private final Sinks.Empty<Void> bodyDone = Sinks.empty();

	private volatile @Nullable Connection connection;

	private volatile @Nullable Channel channel;

	private volatile boolean requestSent;

	private volatile boolean late;

	private volatile long writtenNanos;

	private @Nullable HttpClientResponse response;

	private @Nullable Disposable timer;

	private boolean passedOn;

	Attempt(Dispatch dispatch, EventLoop loop, Clock clock, Listener listener) {
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
				return this.bodyDone.asMono();
			})
			.subscribe((ignored) -> {
			}, (error) -> this.loop.execute(this::lost));
		this.subscription.update(running);
	}

	private static Disposable toDisposable(Future<?> future) {
		return () -> future.cancel(false);
	}

	// Runs on the event loop of the server's connection, right before the first write.
	private void beforeWrite(Connection opened) {
		this.channel = opened.channel();
		this.connection = opened;
		if (this.clock.epochMillis() >= this.dispatch.deadlineEpochMillis()) {
			this.late = true;
			opened.channel().close();
			return;
		}
		// A closed channel never becomes active again, so nothing can be written to it.
		boolean isOpen = opened.channel().isActive();
		if (!isOpen || !this.stage.compareAndSet(Stage.WAITING, Stage.WRITING)) {
			opened.channel().close();
			return;
		}
		this.writtenNanos = System.nanoTime();
	}

	private void headArrived(HttpClientResponse head, Connection opened) {
		if (isClosed()) {
			discard(opened);
			close(opened);
			return;
		}
		this.response = head;
		if (!this.requestSent) {
			// The rest of the request could still be on its way when the response ends.
			opened.markPersistent(false);
		}
		this.listener.headArrived(this, head);
	}

	/**
	 * Returns the body of the response, once.
	 * @return the body; an error means that it is not complete
	 */
	Flux<ByteBuf> body() {
		Connection opened = this.connection;
		if (opened == null || this.passedOn) {
			return Flux.error(new IllegalStateException("the response has no unread body"));
		}
		this.passedOn = true;
		return opened.inbound().receive().retain();
	}

	/**
	 * Skips the body of a response that is not passed on, so that its connection can be
	 * used again if the body is short.
	 */
	void skipBody() {
		Connection opened = this.connection;
		if (opened == null || this.passedOn || isClosed()) {
			return;
		}
		this.passedOn = true;
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
	void completed() {
		this.stage.set(Stage.CLOSED);
		cancelTimer();
		this.bodyDone.tryEmitEmpty();
	}

	/**
	 * Closes the connection of the attempt.
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

	long writtenNanos() {
		return this.writtenNanos;
	}

	@Nullable HttpClientResponse response() {
		return this.response;
	}

	private void timedOut() {
		fail(FailureKind.TIMED_OUT);
	}

	private void lost() {
		fail(FailureKind.LOST_BEFORE_HEAD);
	}

	/**
	 * Fails the attempt unless it has ended.
	 * @param kind how it failed if the request was written and no head arrived
	 */
	void fail(FailureKind kind) {
		Stage before = this.stage.getAndSet(Stage.CLOSED);
		if (before == Stage.CLOSED) {
			return;
		}
		closeConnection();
		this.listener.failed(this, kindOf(before, kind));
	}

	private FailureKind kindOf(Stage before, FailureKind kind) {
		if (before == Stage.WAITING) {
			// A late process is no reason to take the server for unreachable.
			return this.late ? FailureKind.TIMED_OUT : FailureKind.NOT_CONNECTED;
		}
		if (this.passedOn || (this.response != null && kind != FailureKind.TIMED_OUT)) {
			return FailureKind.LOST_IN_BODY;
		}
		return kind;
	}

	private void closeConnection() {
		cancelTimer();
		Connection opened = this.connection;
		if (opened != null) {
			if (this.response != null && !this.passedOn) {
				discard(opened);
			}
			close(opened);
		}
		this.subscription.dispose();
		this.bodyDone.tryEmitEmpty();
	}

	// Buffered bytes of a body that nobody has read are released only by a subscriber.
	private static void discard(Connection opened) {
		opened.inbound().receive().subscribe((chunk) -> {
		}, (error) -> {
		}).dispose();
	}

	// Once the whole response was received, the pool may have given the channel to
	// another
	// request, which must not lose it. Both happen on the event loop of the channel.
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
	 * How far an attempt has come.
	 */
	private enum Stage {

		/** Waits for a connection; nothing was written. */
		WAITING,

		/** Bytes may have been written. */
		WRITING,

		/** Ended; nothing further is written. */
		CLOSED

	}

	/**
	 * Hears how an attempt proceeds.
	 */
	interface Listener {

		/**
		 * The head of the response arrived.
		 * @param attempt the attempt
		 * @param response the head
		 */
		void headArrived(Attempt attempt, HttpClientResponse response);

		/**
		 * The attempt failed and is closed.
		 * @param attempt the attempt
		 * @param kind how it failed
		 */
		void failed(Attempt attempt, FailureKind kind);

	}

}
