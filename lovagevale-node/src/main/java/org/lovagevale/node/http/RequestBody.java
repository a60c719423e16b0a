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
 * The body of a request, which is read from the caller only as fast as attempts send it
 * on.
 *
 * <p>
 * The first {@value RequestHead#MAX_RESENDABLE_BODY_BYTES} bytes are kept, so that
 * another attempt can send them again. Once more bytes have been received, the bytes that
 * all running attempts have taken are released, and no further attempt is possible.
 * Invariant: at most one chunk beyond that limit is held. All methods and callbacks run
 * on the event loop of the caller's connection; the returned streams may be consumed on
 * any thread.
 */
final class RequestBody {

	private final Publisher<ByteBuf> source;

	private final Executor loop;

	private final Listener listener;

	private final List<ByteBuf> keptChunks = new ArrayList<>(1);

	private final List<Reader> readers = new ArrayList<>(1);

	private final SourceSubscriber sourceSubscriber = new SourceSubscriber();

	private long maxBytes = Long.MAX_VALUE;

	private long receivedBytes;

	private boolean complete;

	private boolean failed;

	private boolean awaitingChunk;

	private boolean partReleased;

	private long drainLimitBytes;

	private @Nullable FingerprintBuilder prefixBuilder;

	private @Nullable Runnable drainCallback;

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
	 * Reads until the prefix is complete or the body has ended.
	 * @param builder the builder that receives the prefix
	 * @param maxBytes the largest accepted body in bytes
	 */
	void readPrefix(FingerprintBuilder builder, long maxBytes) {
		this.maxBytes = maxBytes;
		if (this.complete || builder.isPrefixComplete()) {
			this.listener.prefixRead();
			return;
		}
		this.prefixBuilder = builder;
		request();
	}

	/**
	 * Returns whether the whole body has been received.
	 * @return {@code true} if nothing more will arrive
	 */
	boolean isComplete() {
		return this.complete;
	}

	/**
	 * Returns whether a chunk has been requested from the caller and has not arrived yet.
	 * @return {@code true} if the caller has to send
	 */
	boolean isAwaitingCaller() {
		return this.awaitingChunk;
	}

	/**
	 * Returns whether an attempt could still send the whole body.
	 * @return {@code false} if a part is no longer held or reading failed
	 */
	boolean isReadable() {
		return !this.partReleased && !this.failed;
	}

	/**
	 * Returns the body for an attempt.
	 *
	 * <p>
	 * It must be consumed by a Reactor Netty outbound, which releases discarded chunks; a
	 * discard hook here would release them a second time.
	 * @return the body from its first byte; cancelling this stream does not affect other
	 * readers
	 */
	Flux<ByteBuf> read() {
		return Flux.create((sink) -> this.loop.execute(() -> new Reader(sink).start()));
	}

	/**
	 * Receives and drops the rest of the body, up to a limit, so that the caller can read
	 * the response before its connection is reset.
	 * @param maxBytes the largest number of further bytes to receive
	 * @param done runs when the body has ended or the limit is reached
	 */
	void drain(long maxBytes, Runnable done) {
		this.drainCallback = done;
		this.drainLimitBytes = this.receivedBytes + maxBytes;
		this.prefixBuilder = null;
		this.readers.clear();
		releaseKept();
		if (this.complete || this.failed) {
			done.run();
			return;
		}
		request();
	}

	/**
	 * Releases all held chunks and stops reading.
	 */
	void dispose() {
		this.failed = true;
		releaseKept();
		if (!this.complete) {
			this.sourceSubscriber.dispose();
		}
	}

	private void releaseKept() {
		this.partReleased = this.partReleased || !this.keptChunks.isEmpty();
		this.keptChunks.forEach(ReferenceCountUtil::safeRelease);
		this.keptChunks.clear();
	}

	private void request() {
		if (this.awaitingChunk || this.complete || this.failed) {
			return;
		}
		this.awaitingChunk = true;
		this.listener.progressMade();
		if (this.sourceSubscriber.isSubscribed()) {
			this.sourceSubscriber.request(1);
		}
		else {
			this.source.subscribe(this.sourceSubscriber);
		}
	}

	private void accept(ByteBuf chunk) {
		this.awaitingChunk = false;
		this.receivedBytes += chunk.readableBytes();
		this.listener.progressMade();
		if (this.drainCallback != null) {
			drainMore(this.drainCallback);
			return;
		}
		if (this.receivedBytes > this.maxBytes) {
			this.listener.bodyTooLarge();
			return;
		}
		this.keptChunks.add(chunk.retain());
		if (this.prefixBuilder != null) {
			readMorePrefix(this.prefixBuilder, chunk);
			return;
		}
		deliver();
	}

	private void drainMore(Runnable done) {
		if (this.receivedBytes < this.drainLimitBytes) {
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
		this.prefixBuilder = null;
		this.listener.prefixRead();
	}

	private void sourceCompleted() {
		this.awaitingChunk = false;
		this.complete = true;
		if (this.drainCallback != null) {
			this.drainCallback.run();
			return;
		}
		if (this.prefixBuilder != null) {
			this.prefixBuilder = null;
			this.listener.prefixRead();
			return;
		}
		deliver();
	}

	private void deliver() {
		for (Reader reader : List.copyOf(this.readers)) {
			reader.emit();
		}
		releaseDelivered();
		boolean allAtEnd = this.readers.stream().allMatch(Reader::isAtEnd);
		boolean anyWaiting = this.readers.stream().anyMatch(Reader::isWaiting);
		if (anyWaiting && (allAtEnd || this.receivedBytes <= RequestHead.MAX_RESENDABLE_BODY_BYTES)) {
			request();
		}
	}

	private void releaseDelivered() {
		if (this.receivedBytes <= RequestHead.MAX_RESENDABLE_BODY_BYTES || this.readers.isEmpty()) {
			return;
		}
		int delivered = this.readers.stream().mapToInt((reader) -> reader.index).min().orElse(0);
		if (delivered == 0) {
			return;
		}
		List<ByteBuf> deliveredChunks = this.keptChunks.subList(0, delivered);
		deliveredChunks.forEach(ReferenceCountUtil::safeRelease);
		deliveredChunks.clear();
		this.partReleased = true;
		this.readers.forEach((reader) -> reader.index -= delivered);
	}

	/**
	 * Delivers the body to one attempt.
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
				this.sink.error(new IllegalStateException("the request body is no longer held in full"));
				return;
			}
			RequestBody.this.readers.add(this);
			this.sink.onDispose(() -> RequestBody.this.loop.execute(this::end));
			this.sink.onRequest((count) -> RequestBody.this.loop.execute(RequestBody.this::deliver));
		}

		void emit() {
			while (!this.ended && this.index < RequestBody.this.keptChunks.size()
					&& this.sink.requestedFromDownstream() > 0) {
				ByteBuf chunk = RequestBody.this.keptChunks.get(this.index);
				this.index++;
				this.sink.next(chunk.retainedDuplicate());
			}
			if (!this.ended && isAtEnd() && RequestBody.this.complete) {
				end();
				this.sink.complete();
			}
		}

		boolean isAtEnd() {
			return this.index == RequestBody.this.keptChunks.size();
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
	 * Receives chunks from the caller's connection, one for each {@code request(1)}.
	 */
	private final class SourceSubscriber extends BaseSubscriber<ByteBuf> {

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
			sourceCompleted();
		}

		@Override
		protected void hookOnError(Throwable throwable) {
			RequestBody.this.failed = true;
			RequestBody.this.awaitingChunk = false;
			RequestBody.this.listener.connectionFailed();
		}

		@Override
		protected void hookFinally(SignalType type) {
			RequestBody.this.awaitingChunk = false;
		}

	}

	/**
	 * Receives the events of reading.
	 */
	interface Listener {

		/**
		 * Called when the prefix has been read, or the whole body if it is shorter.
		 */
		void prefixRead();

		/**
		 * Called when more bytes than allowed have arrived.
		 */
		void bodyTooLarge();

		/**
		 * Called when the caller's connection has failed.
		 */
		void connectionFailed();

		/**
		 * Called when a chunk has arrived or has been requested.
		 */
		void progressMade();

	}

}
