package org.lovagevale.node.http;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;

import io.netty.buffer.ByteBuf;
import io.netty.util.ReferenceCountUtil;
import org.jspecify.annotations.Nullable;
import org.lovagevale.core.RequestHead;
import org.reactivestreams.Publisher;
import org.reactivestreams.Subscription;
import reactor.core.publisher.BaseSubscriber;
import reactor.core.publisher.Flux;
import reactor.core.publisher.FluxSink;
import reactor.core.publisher.SignalType;

/**
 * The body of a request, read from the caller only as fast as attempts send it.
 *
 * <p>
 * The first {@value RequestHead#MAX_RESENDABLE_BODY_BYTES} bytes are kept, so that a
 * further attempt can send them again. Once more was received, bytes that every running
 * attempt has taken are released, and no further attempt is possible. Invariant: at most
 * one chunk beyond that limit is held. All methods and callbacks run on the event loop of
 * the caller's connection; readers may be consumed on any thread.
 */
final class RequestBody {

	private final Publisher<ByteBuf> source;

	private final Executor loop;

	private final Listener listener;

	private final List<ByteBuf> kept = new ArrayList<>(1);

	private final List<Reader> readers = new ArrayList<>(1);

	private final Input input = new Input();

	private long limit = Long.MAX_VALUE;

	private long received;

	private boolean complete;

	private boolean failed;

	private boolean awaiting;

	private boolean released;

	private long drainBytes;

	private @Nullable FingerprintBuilder prefix;

	private @Nullable Runnable drainDone;

	RequestBody(Publisher<ByteBuf> source, Executor loop, Listener listener) {
		this.source = source;
		this.loop = loop;
		this.listener = listener;
	}

	/**
	 * Marks the body as empty, so that nothing is read.
	 */
	void markEmpty() {
		this.complete = true;
	}

	/**
	 * Reads until the prefix is complete or the body ended.
	 * @param builder takes the prefix
	 * @param maxBytes largest body in bytes
	 */
	void readPrefix(FingerprintBuilder builder, long maxBytes) {
		this.limit = maxBytes;
		if (this.complete || builder.isPrefixComplete()) {
			this.listener.prefixRead();
			return;
		}
		this.prefix = builder;
		request();
	}

	/**
	 * Tells whether the whole body was received.
	 * @return {@code true} if nothing more will arrive
	 */
	boolean isComplete() {
		return this.complete;
	}

	/**
	 * Tells whether bytes of the caller are awaited.
	 * @return {@code true} if the caller is to send
	 */
	boolean isAwaiting() {
		return this.awaiting;
	}

	/**
	 * Tells whether an attempt could send the whole body.
	 * @return {@code false} if a part is no longer held
	 */
	boolean isReadable() {
		return !this.released && !this.failed;
	}

	/**
	 * Returns the body for an attempt.
	 *
	 * <p>
	 * It has to be consumed by an outbound of Reactor Netty, which releases discarded
	 * chunks; a second discard hook here would release them twice.
	 * @return the body from its first byte; cancelling it leaves the body to others
	 */
	Flux<ByteBuf> read() {
		return Flux.create((sink) -> this.loop.execute(() -> new Reader(sink).start()));
	}

	/**
	 * Receives and drops the rest, up to a limit, so that the caller reads the answer
	 * before its connection is reset.
	 * @param maxBytes most bytes to receive
	 * @param done runs once the body ended or the limit was reached
	 */
	void drain(long maxBytes, Runnable done) {
		this.drainDone = done;
		this.drainBytes = this.received + maxBytes;
		this.prefix = null;
		this.readers.clear();
		releaseKept();
		if (this.complete || this.failed) {
			done.run();
			return;
		}
		request();
	}

	/**
	 * Releases what is held.
	 */
	void dispose() {
		this.failed = true;
		releaseKept();
		if (!this.complete) {
			this.input.dispose();
		}
	}

	private void releaseKept() {
		this.released = this.released || !this.kept.isEmpty();
		this.kept.forEach(ReferenceCountUtil::safeRelease);
		this.kept.clear();
	}

	private void request() {
		if (this.awaiting || this.complete || this.failed) {
			return;
		}
		this.awaiting = true;
		this.listener.progressed();
		if (this.input.isSubscribed()) {
			this.input.request(1);
		}
		else {
			this.source.subscribe(this.input);
		}
	}

	private void accept(ByteBuf chunk) {
		this.awaiting = false;
		this.received += chunk.readableBytes();
		this.listener.progressed();
		if (this.drainDone != null) {
			drainMore(this.drainDone);
			return;
		}
		if (this.received > this.limit) {
			this.listener.tooLarge();
			return;
		}
		this.kept.add(chunk.retain());
		if (this.prefix != null) {
			readMorePrefix(this.prefix, chunk);
			return;
		}
		pump();
	}

	private void drainMore(Runnable done) {
		if (this.received < this.drainBytes) {
			request();
		}
		else {
			done.run();
		}
	}

	private void readMorePrefix(FingerprintBuilder builder, ByteBuf chunk) {
		builder.addBody(chunk);
		if (!builder.isPrefixComplete()) {
			request();
			return;
		}
		this.prefix = null;
		this.listener.prefixRead();
	}

	private void completed() {
		this.awaiting = false;
		this.complete = true;
		if (this.drainDone != null) {
			this.drainDone.run();
			return;
		}
		if (this.prefix != null) {
			this.prefix = null;
			this.listener.prefixRead();
			return;
		}
		pump();
	}

	private void pump() {
		for (Reader reader : List.copyOf(this.readers)) {
			reader.push();
		}
		releaseTaken();
		boolean allAtEnd = this.readers.stream().allMatch(Reader::isAtEnd);
		boolean wanted = this.readers.stream().anyMatch(Reader::isWaiting);
		if (wanted && (allAtEnd || this.received <= RequestHead.MAX_RESENDABLE_BODY_BYTES)) {
			request();
		}
	}

	private void releaseTaken() {
		if (this.received <= RequestHead.MAX_RESENDABLE_BODY_BYTES || this.readers.isEmpty()) {
			return;
		}
		int taken = this.readers.stream().mapToInt((reader) -> reader.index).min().orElse(0);
		if (taken == 0) {
			return;
		}
		List<ByteBuf> done = this.kept.subList(0, taken);
		done.forEach(ReferenceCountUtil::safeRelease);
		done.clear();
		this.released = true;
		this.readers.forEach((reader) -> reader.index -= taken);
	}

	/**
	 * One attempt that sends the body.
	 */
	private final class Reader {

		private final FluxSink<ByteBuf> sink;

		private int index;

		private boolean ended;

		Reader(FluxSink<ByteBuf> sink) {
			this.sink = sink;
		}

		void start() {
			if (!isReadable()) {
				this.sink.error(new IllegalStateException("the body of the request is no longer held"));
				return;
			}
			RequestBody.this.readers.add(this);
			this.sink.onDispose(() -> RequestBody.this.loop.execute(this::end));
			this.sink.onRequest((count) -> RequestBody.this.loop.execute(RequestBody.this::pump));
		}

		void push() {
			while (!this.ended && this.index < RequestBody.this.kept.size()
					&& this.sink.requestedFromDownstream() > 0) {
				ByteBuf chunk = RequestBody.this.kept.get(this.index);
				this.index++;
				this.sink.next(chunk.retainedDuplicate());
			}
			if (!this.ended && isAtEnd() && RequestBody.this.complete) {
				end();
				this.sink.complete();
			}
		}

		boolean isAtEnd() {
			return this.index == RequestBody.this.kept.size();
		}

		boolean isWaiting() {
			return isAtEnd() && this.sink.requestedFromDownstream() > 0;
		}

		void end() {
			this.ended = true;
			RequestBody.this.readers.remove(this);
		}

	}

	/**
	 * Receives chunks from the caller's connection, one for each request.
	 */
	private final class Input extends BaseSubscriber<ByteBuf> {

		private boolean subscribed;

		boolean isSubscribed() {
			return this.subscribed;
		}

		@Override
		protected void hookOnSubscribe(Subscription subscription) {
			this.subscribed = true;
			request(1);
		}

		@Override
		protected void hookOnNext(ByteBuf chunk) {
			accept(chunk);
		}

		@Override
		protected void hookOnComplete() {
			completed();
		}

		@Override
		protected void hookOnError(Throwable throwable) {
			RequestBody.this.failed = true;
			RequestBody.this.awaiting = false;
			RequestBody.this.listener.broken();
		}

		@Override
		protected void hookFinally(SignalType type) {
			RequestBody.this.awaiting = false;
		}

	}

	/**
	 * Hears how reading proceeds.
	 */
	interface Listener {

		/**
		 * The prefix was read, or the body ended before.
		 */
		void prefixRead();

		/**
		 * More bytes than allowed arrived.
		 */
		void tooLarge();

		/**
		 * The caller's connection failed.
		 */
		void broken();

		/**
		 * Bytes arrived, or more are awaited from now on.
		 */
		void progressed();

	}

}
