package org.lovagevale.peer;

import java.util.LinkedHashMap;
import java.util.Map;

import io.netty.channel.Channel;
import org.jspecify.annotations.Nullable;

/**
 * The frames that have arrived in part, with a limit on their sum.
 *
 * <p>
 * Each may have more than 1 MB, so a limit for each link bounds nothing. Thread-safe.
 */
final class PartialFrames {

	/**
	 * Maximum size of the received parts of all incomplete frames, in bytes. Six frames
	 * of the maximum size fit.
	 */
	static final int MAX_TOTAL_BYTES = 8_388_608;

	/** Received bytes by link, in the order in which the frames began. */
	private final Map<Channel, Integer> bytesByLink = new LinkedHashMap<>();

	private long totalBytes;

	/**
	 * Records the size of the incomplete frame of a link.
	 * @param link the channel of the link
	 * @param bytes the received bytes, 0 if there is no incomplete frame
	 * @return the link with the oldest incomplete frame, which is to be closed, or
	 * {@code null} if the sum is within the limit
	 */
	synchronized @Nullable Channel record(Channel link, int bytes) {
		Integer previous = (bytes > 0) ? this.bytesByLink.put(link, bytes) : this.bytesByLink.remove(link);
		this.totalBytes += bytes - ((previous != null) ? previous : 0);
		return (this.totalBytes > MAX_TOTAL_BYTES) ? this.bytesByLink.keySet().iterator().next() : null;
	}

}
