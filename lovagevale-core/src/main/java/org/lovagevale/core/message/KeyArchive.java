package org.lovagevale.core.message;

import java.util.List;

/**
 * The outcomes of all keys of a process that stops.
 *
 * <p>
 * An entry of {@code unknown} that ends with {@link #THIS_AND_EARLIER_EPOCHS} in place of
 * the unique part stands for every key of its epoch and of all earlier epochs: the
 * process no longer remembers them, or the archive has no room for them.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param vm the process
 * @param incarnation its incarnation
 * @param ran keys that ran
 * @param unknown keys whose outcome is unknown; all others did not run
 * @param validMs how long the archive is needed in milliseconds
 * @param regions the regions that may keep it, empty for all
 */
public record KeyArchive(String vm, String incarnation, List<String> ran, List<String> unknown, long validMs,
		List<String> regions) implements PeerMessage {

	/** Stands for every unique part in an epoch and in all earlier ones. */
	public static final String THIS_AND_EARLIER_EPOCHS = "*";

}
