package org.lovagevale.gateway;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.lovagevale.base.LogLine;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The limits on connections that others open to this process, so that descriptors are
 * left for files, peers, backend servers and the store.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param callerConnections the limit on the connections of callers
 * @param excessEndpointConnections the number of connections that all endpoints for the
 * platform together accept for a moment above their limits
 */
public record DescriptorLimits(int callerConnections, int excessEndpointConnections) {

	/**
	 * Share of the descriptors that callers may take. On the smallest VM, with 2,069,
	 * these are 620; endpoints with their excess take 957, peers that do not introduce
	 * themselves 128, and files 200.
	 */
	private static final double CALLER_SHARE = 0.3;

	/**
	 * Share of the descriptors that the endpoints together may take above their limits.
	 */
	private static final double EXCESS_SHARE = 0.2;

	/** As many as three endpoints keep at most. */
	private static final int MAX_EXCESS = 3 * 1_024;

	/** Number of descriptors that is assumed if the limit cannot be read. */
	private static final long DEFAULT_DESCRIPTORS = 2_069;

	private static final Path LIMITS_FILE = Path.of("/proc/self/limits");

	private static final Pattern MAX_OPEN_FILES = Pattern.compile("^Max open files +(\\d+) ", Pattern.MULTILINE);

	private static final Logger LOGGER = LoggerFactory.getLogger(DescriptorLimits.class);

	/**
	 * Derives the limits from the limit on descriptors of this process.
	 * @return the limits
	 */
	public static DescriptorLimits forThisProcess() {
		try {
			Matcher matcher = MAX_OPEN_FILES.matcher(Files.readString(LIMITS_FILE));
			return of(matcher.find() ? Long.parseLong(matcher.group(1)) : Integer.MAX_VALUE);
		}
		catch (IOException | NumberFormatException ex) {
			LOGGER.warn("{}", LogLine.event("descriptors.unknown").with("why", String.valueOf(ex)));
			return of(DEFAULT_DESCRIPTORS);
		}
	}

	/**
	 * Derives the limits from a limit on descriptors.
	 * @param descriptors the limit on descriptors
	 * @return the limits
	 */
	public static DescriptorLimits of(long descriptors) {
		if (descriptors <= 0) {
			throw new IllegalArgumentException("limit of " + descriptors + " descriptors, expected at least 1");
		}
		long callers = Math.max(1, (long) (CALLER_SHARE * descriptors));
		long excess = Math.max(1, (long) (EXCESS_SHARE * descriptors));
		return new DescriptorLimits((int) Math.min(Integer.MAX_VALUE, callers), (int) Math.min(MAX_EXCESS, excess));
	}

}
