package org.lovagevale.core.keys;

import java.util.regex.Pattern;

import org.lovagevale.base.VmName;
import org.lovagevale.core.Incarnation;

/**
 * An idempotency key, bound to one incarnation of one VM and to one of its key epochs.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param vm the VM that may run the request
 * @param incarnation the only incarnation that may run it
 * @param epoch the key epoch in which the prefix was issued, counted from 0
 * @param unique the part chosen by the caller: 1 to 128 characters from A-Z, a-z, 0-9,
 * hyphen and underscore
 */
public record IdempotencyKey(VmName vm, Incarnation incarnation, long epoch, String unique) {

	private static final Pattern UNIQUE_PART_PATTERN = Pattern.compile("[A-Za-z0-9_-]{1,128}");

	private static final int PART_COUNT = 4;

	/**
	 * Validates the components.
	 * @throws IllegalArgumentException if the epoch is negative or the unique part is
	 * invalid
	 */
	public IdempotencyKey {
		if (epoch < 0) {
			throw new IllegalArgumentException("epoch must not be negative: " + epoch);
		}
		if (!UNIQUE_PART_PATTERN.matcher(unique).matches()) {
			throw new IllegalArgumentException(
					"the unique part must be 1 to 128 characters from A-Z, a-z, 0-9, '-' and '_'");
		}
	}

	/**
	 * Parses the form {@code vm.incarnation.epoch.unique}.
	 * @param text the text
	 * @return the key
	 * @throws IllegalArgumentException if the text does not have this form
	 */
	public static IdempotencyKey parse(String text) {
		String[] parts = text.split("\\.", -1);
		if (parts.length != PART_COUNT) {
			throw new IllegalArgumentException("an idempotency key must have the form vm.incarnation.epoch.unique");
		}
		return new IdempotencyKey(new VmName(parts[0]), Incarnation.parse(parts[1]), Long.parseLong(parts[2]),
				parts[3]);
	}

	/**
	 * Returns the key prefix to which callers append a unique part.
	 * @param vm the VM
	 * @param incarnation its incarnation
	 * @param epoch its current key epoch
	 * @return the prefix, ending with a dot
	 */
	public static String prefix(VmName vm, Incarnation incarnation, long epoch) {
		return vm + "." + incarnation + "." + epoch + ".";
	}

	@Override
	public String toString() {
		return prefix(this.vm, this.incarnation, this.epoch) + this.unique;
	}

}
