package org.lovagevale.gateway.http;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.handler.codec.http.DefaultHttpContent;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against bodies in small parts that take many times their size, and against bytes
 * that are sent twice or not at all.
 */
class RequestContentTests {

	/** Size of the objects of a buffer at least, in bytes. */
	private static final long MIN_OBJECT_BYTES = 100;

	// A buffer that is tracked for leaks has slices that do not tell it.
	private final UnpooledByteBufAllocator allocator = new UnpooledByteBufAllocator(true, true);

	private final RequestContent content = new RequestContent();

	private final List<ByteBuf> sent = new ArrayList<>();

	@AfterEach
	void allMemoryIsReleased() {
		this.sent.forEach(ByteBuf::release);
		this.content.release();
		assertThat(this.content.heldBytes()).isZero();
		assertThat(this.allocator.metric().usedDirectMemory()).isZero();
	}

	@Test
	void partsOfOneByteOfABodyThatIsBeingSentTakeFewBuffers() {
		int bytes = RequestContent.MAX_REPLAYABLE_BYTES;
		Set<ByteBuf> buffers = Collections.newSetFromMap(new IdentityHashMap<>());
		for (int i = 0; i < bytes; i++) {
			add(1);
			for (ByteBuf slice : this.content.takeUnsent()) {
				buffers.add(slice.unwrap());
				slice.release();
			}
		}
		long objectBytes = buffers.size() * MIN_OBJECT_BYTES;
		assertThat(objectBytes).isLessThanOrEqualTo(bytes);
		assertThat(this.allocator.metric().usedDirectMemory()).isBetween((long) bytes, 2L * bytes);
		assertThat(this.content.heldBytes()).isBetween(this.allocator.metric().usedDirectMemory() + objectBytes,
				3L * bytes);
	}

	@Test
	void aBodyTooLargeToBeSentAgainKeepsNothingBesideWhatIsBeingSent() {
		add(RequestContent.MAX_REPLAYABLE_BYTES);
		for (int i = 0; i < 1_000; i++) {
			add(1);
			this.sent.addAll(this.content.takeUnsent());
			this.content.dropIfTooLarge();
			this.sent.forEach(ByteBuf::release);
			this.sent.clear();
			assertThat(this.allocator.metric().usedDirectMemory()).isZero();
		}
	}

	@ParameterizedTest
	@ValueSource(ints = { 1, 100, 3_000, 40_000 })
	void theBodyIsSentOnceAndAgainFromItsBeginning(int maxPartBytes) {
		SplittableRandom random = new SplittableRandom(maxPartBytes);
		ByteArrayOutputStream expected = new ByteArrayOutputStream();
		while (this.content.size() < 100_000) {
			expected.writeBytes(add(random.nextInt(1, maxPartBytes + 1)));
			if (random.nextInt(3) == 0) {
				this.sent.addAll(this.content.takeUnsent());
			}
		}
		this.sent.addAll(this.content.takeUnsent());
		assertThat(bytesOf(this.sent)).isEqualTo(expected.toByteArray());
		this.content.rewind();
		List<ByteBuf> again = this.content.takeUnsent();
		assertThat(bytesOf(again)).isEqualTo(expected.toByteArray());
		this.sent.addAll(again);
	}

	private byte[] add(int bytes) {
		byte[] part = new byte[bytes];
		new SplittableRandom(this.content.size()).nextBytes(part);
		this.content.add(new DefaultHttpContent(this.allocator.heapBuffer(bytes).writeBytes(part)));
		return part;
	}

	private static byte[] bytesOf(List<ByteBuf> slices) {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		slices.forEach((slice) -> bytes.writeBytes(ByteBufUtil.getBytes(slice)));
		return bytes.toByteArray();
	}

}
