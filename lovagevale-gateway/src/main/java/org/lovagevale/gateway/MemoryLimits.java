package org.lovagevale.gateway;

import io.netty.util.internal.PlatformDependent;

/**
 * The limits on the bytes held for requests and responses.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param requestBytes the limit on what is held for requests, in bytes
 * @param responseBytes the limit on what is held for responses, in bytes
 */
public record MemoryLimits(long requestBytes, long responseBytes) {

	/**
	 * Share of the direct memory that requests may take. The rest is left for responses,
	 * for the buffers of reads and of messages between processes, and for the unused
	 * parts of pooled chunks.
	 */
	private static final double DIRECT_REQUEST_SHARE = 0.5;

	/**
	 * Share of the heap that heads of requests may take. A decoded head takes about twice
	 * its size, 4,000 connections take another quarter, and the state of the process
	 * takes the rest.
	 */
	private static final double HEAP_REQUEST_SHARE = 0.2;

	/** Share of the direct memory that responses may take. */
	private static final double DIRECT_RESPONSE_SHARE = 0.25;

	/** Share of the heap that heads of responses may take. */
	private static final double HEAP_RESPONSE_SHARE = 0.15;

	/**
	 * Derives the limits from the memory of this JVM.
	 * @return the limits
	 */
	public static MemoryLimits forThisJvm() {
		long directBytes = PlatformDependent.maxDirectMemory();
		long heapBytes = Runtime.getRuntime().maxMemory();
		return new MemoryLimits((long) Math.min(DIRECT_REQUEST_SHARE * directBytes, HEAP_REQUEST_SHARE * heapBytes),
				(long) Math.min(DIRECT_RESPONSE_SHARE * directBytes, HEAP_RESPONSE_SHARE * heapBytes));
	}

}
