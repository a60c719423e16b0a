package org.lovagevale.gateway;

import io.netty.util.internal.PlatformDependent;

/**
 * Derives the limit on the bytes held for callers from the memory of the JVM.
 *
 * <p>
 * Thread-safe.
 */
public final class MemoryLimits {

	/**
	 * Share of the direct memory that bodies of callers may take. The rest is left for
	 * the buffers of reads, responses and messages between processes, and for the unused
	 * parts of pooled chunks.
	 */
	private static final double DIRECT_SHARE = 0.5;

	/**
	 * Share of the heap that heads of callers may take. A decoded head takes about twice
	 * its size, 4,000 connections take another quarter, and the state of the process
	 * takes the rest.
	 */
	private static final double HEAP_SHARE = 0.2;

	private MemoryLimits() {
	}

	/**
	 * Returns the limit for this JVM.
	 * @return the limit in bytes
	 */
	public static long forThisJvm() {
		return (long) Math.min(DIRECT_SHARE * PlatformDependent.maxDirectMemory(),
				HEAP_SHARE * Runtime.getRuntime().maxMemory());
	}

}
