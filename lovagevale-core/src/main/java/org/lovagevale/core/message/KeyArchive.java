package org.lovagevale.core.message;

import java.util.List;

/**
 * The outcomes of the idempotency keys of a stopping process.
 *
 * <p>
 * An entry of {@code unknown} that ends with {@link #THIS_AND_EARLIER_EPOCHS} in place of
 * the unique part stands for every key of its epoch and of all earlier epochs: the
 * process no longer stores them, or the archive has no room for them.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param vm the name of the VM
 * @param incarnation the incarnation of the process
 * @param ran the keys whose requests ran
 * @param unknown the keys whose outcome is unknown; all other keys did not run
 * @param validMs how long the archive must be stored, in milliseconds
 * @param regions the regions that may store it, empty for all
 */
public record KeyArchive(String vm, String incarnation, List<String> ran, List<String> unknown, long validMs,
		List<String> regions) implements PeerMessage {

	/**
	 * Used in place of the unique part to denote all keys of an epoch and of all earlier
	 * epochs.
	 */
	public static final String THIS_AND_EARLIER_EPOCHS = "*";

}
