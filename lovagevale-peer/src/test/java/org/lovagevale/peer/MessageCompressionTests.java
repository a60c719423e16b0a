package org.lovagevale.peer;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Guards against messages that change when they are compressed, and against compressed
 * input from a peer that allocates much more than its size.
 */
class MessageCompressionTests {

	private static final int SEED = 7;

	@Test
	void largeTextGetsSmaller() throws PeerException {
		byte[] message = text(40_000);
		byte[] compressed = MessageCompression.compress(message);
		assertThat(compressed.length).isLessThan(message.length / 2);
		assertThat(MessageCompression.decompress(compressed)).isEqualTo(message);
	}

	@Test
	void smallAndIncompressibleMessagesAreSentAsTheyAre() throws PeerException {
		byte[] small = text(MessageCompression.MIN_BYTES - 1);
		assertThat(MessageCompression.compress(small)).isSameAs(small);
		byte[] random = new byte[10_000];
		new Random(SEED).nextBytes(random);
		random[0] = (byte) 0x92;
		assertThat(MessageCompression.compress(random)).isSameAs(random);
		assertThat(MessageCompression.decompress(random)).isSameAs(random);
	}

	@Test
	void messageThatCompressesTooWellIsSentAsItIs() throws PeerException {
		byte[] zeros = new byte[1_000_000];
		assertThat(MessageCompression.decompress(MessageCompression.compress(zeros))).isEqualTo(zeros);
		assertThat(MessageCompression.compress(zeros)).isSameAs(zeros);
	}

	@Test
	void truncatedExtendedOrMisstatedMessagesAreRefused() {
		byte[] compressed = MessageCompression.compress(text(4_000));
		for (int length = 1; length < compressed.length; length++) {
			expectRefusal(Arrays.copyOf(compressed, length));
		}
		expectRefusal(Arrays.copyOf(compressed, compressed.length + 1));
		for (int size : new int[] { -1, 0, 3_999, 4_001, Integer.MAX_VALUE }) {
			byte[] changed = compressed.clone();
			ByteBuffer.wrap(changed).putInt(1, size);
			expectRefusal(changed);
		}
	}

	@Property(seed = "20261207", tries = 1_000)
	void randomCompressedInputCausesOnlyPeerExceptions(@ForAll @Size(max = 300) byte[] bytes) {
		byte[] marked = Arrays.copyOf(bytes, bytes.length + 1);
		marked[0] = (byte) 0xc1;
		try {
			MessageCompression.decompress(marked);
		}
		catch (PeerException ex) {
			assertThat(ex).hasMessageStartingWith("malformed message");
		}
	}

	private static void expectRefusal(byte[] bytes) {
		assertThatExceptionOfType(PeerException.class).isThrownBy(() -> MessageCompression.decompress(bytes));
	}

	private static byte[] text(int length) {
		Random random = new Random(SEED);
		byte[] text = new byte[length];
		for (int i = 0; i < length; i++) {
			text[i] = (byte) ('a' + random.nextInt(4));
		}
		return text;
	}

}
