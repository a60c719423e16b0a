package org.lovagevale.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import org.junit.jupiter.api.Test;
import org.lovagevale.base.ManualClock;
import org.lovagevale.core.memory.HeldKind;
import org.lovagevale.core.memory.MemoryAccount;
import org.lovagevale.core.pipelining.WaitingBytes;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against waiting responses that are held without being accounted for, or that
 * stay accounted for after they were sent or given up.
 */
class WaitingResponseTests {

	private static final int PART_BYTES = 4_000;

	private final MemoryAccount account = new MemoryAccount(new ManualClock(1_000, 0), 10_000);

	private final WaitingBytes waitingBytes = new WaitingBytes();

	private WaitingResponse response;

	private void create() {
		this.response = new WaitingResponse(this.waitingBytes,
				this.account.reserveEvictable(HeldKind.RESPONSE_BODY, this::replace));
		this.response.setHead(new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK));
	}

	private void replace() {
		this.response.release();
		this.response.setHead(new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.BAD_GATEWAY));
	}

	private ByteBuf add() {
		ByteBuf part = Unpooled.buffer(PART_BYTES);
		this.response.add(part);
		return part;
	}

	@Test
	void allPartsAreAccountedForUntilTheyAreTaken() {
		create();
		ByteBuf part = add();
		assertThat(this.account.heldBytes()).isGreaterThan(PART_BYTES).isEqualTo(this.waitingBytes.bytes());
		assertThat(this.response.takeParts()).containsExactly(part);
		assertThat(this.account.heldBytes()).isZero();
		assertThat(this.waitingBytes.bytes()).isZero();
		assertThat(part.refCnt()).isOne();
		part.release();
	}

	@Test
	void releaseFreesAllParts() {
		create();
		ByteBuf part = add();
		this.response.release();
		assertThat(part.refCnt()).isZero();
		assertThat(this.response.head()).isNull();
		assertThat(this.account.heldBytes()).isZero();
		assertThat(this.waitingBytes.bytes()).isZero();
	}

	// The eviction empties the account after the error was kept in place of the response.
	@Test
	void connectionHoldsNothingAfterAnEvictedResponseWasReplacedAndSent() {
		create();
		add();
		add();
		add();
		assertThat(this.account.evictExcess()).isOne();
		assertThat(this.waitingBytes.bytes()).isBetween(1L, 1_000L);
		this.response.takeParts();
		assertThat(this.waitingBytes.bytes()).isZero();
		assertThat(this.account.heldBytes()).isZero();
	}

}
