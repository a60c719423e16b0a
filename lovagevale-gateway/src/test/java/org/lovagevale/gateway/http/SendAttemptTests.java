package org.lovagevale.gateway.http;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.handler.codec.http.DefaultHttpContent;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.lovagevale.base.FailureDomain;
import org.lovagevale.base.ManualClock;
import org.lovagevale.base.Region;
import org.lovagevale.base.ServerName;
import org.lovagevale.base.ServiceName;
import org.lovagevale.core.catalog.BackendInstance;
import org.lovagevale.core.memory.HeldKind;
import org.lovagevale.core.memory.MemoryAccount;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against buffered responses that take many times their size, and against buffers
 * that are not accounted for or not released.
 */
class SendAttemptTests {

	private static final int READ_BYTES = 32_768;

	private static final int PARTS = 500;

	private final UnpooledByteBufAllocator allocator = new UnpooledByteBufAllocator(true);

	private final MemoryAccount account = new MemoryAccount(new ManualClock(1_000, 0), 1_000_000);

	private final BackendInstance server = new BackendInstance(new ServerName("a"), new ServiceName("balances"),
			"127.0.0.1", 1, new FailureDomain("west-1"), new Region("west"), 3, false, 0, 1);

	private final SendAttempt attempt = new SendAttempt(null, null, this.server, this.account, 0);

	@AfterEach
	void allMemoryIsReleased() {
		this.attempt.releaseBuffered();
		assertThat(this.allocator.metric().usedDirectMemory()).isZero();
		assertThat(this.account.heldBytes()).isZero();
	}

	@Test
	void bufferedPartsDoNotKeepTheBuffersTheyWereReadInto() {
		for (int i = 0; i < PARTS; i++) {
			this.attempt.buffer(part('a'));
		}
		assertThat(this.attempt.bufferedBytes()).isEqualTo(PARTS);
		assertThat(this.allocator.metric().usedDirectMemory()).isLessThanOrEqualTo(2 * PARTS);
		this.attempt.accountBuffered();
		assertThat(this.account.heldBytes(HeldKind.RESPONSE_BODY))
			.isEqualTo(this.allocator.metric().usedDirectMemory());
	}

	@Test
	void bufferedPartsAreJoinedInOrder() {
		this.attempt.buffer(part('a'));
		this.attempt.buffer(part('b'));
		this.attempt.accountBuffered();
		ByteBuf joined = this.attempt.takeBuffered();
		assertThat(this.account.heldBytes()).isZero();
		assertThat(joined.toString(StandardCharsets.US_ASCII)).isEqualTo("ab");
		joined.release();
		assertThat(this.attempt.takeBuffered()).isNull();
	}

	private DefaultHttpContent part(char letter) {
		ByteBuf read = this.allocator.directBuffer(READ_BYTES);
		read.writeByte(letter);
		return new DefaultHttpContent(read);
	}

}
