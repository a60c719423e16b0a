package org.lovagevale.core.keys;

import java.util.regex.Pattern;

import org.lovagevale.base.VmName;
import org.lovagevale.core.Incarnation;

/**
 * An idempotency key, bound to one incarnation of one VM and to an epoch of its clock.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param vm the VM that may run the request
 * @param incarnation the only incarnation that may run it
 * @param epoch the key epoch in which the prefix was given out, counted from 0
 * @param unique the part chosen by the caller: 1 to 128 characters of A-Z, a-z, 0-9,
 * hyphen and underscore
 */
public record IdempotencyKey(VmName vm, Incarnation incarnation, long epoch, String unique) {

	private static final Pattern UNIQUE = Pattern.compile("[A-Za-z0-9_-]{1,128}");

	private static final int PARTS = 4;

	/**
	 * Checks the values.
	 * @throws IllegalArgumentException if the epoch is negative or the unique part is
	 * invalid
	 */
	public IdempotencyKey {
		if (epoch < 0) {
			throw new IllegalArgumentException("epoch must not be negative: " + epoch);
		}
		if (!UNIQUE.matcher(unique).matches()) {
			throw new IllegalArgumentException("invalid unique part of an idempotency key");
		}
	}

	/**
	 * Parses the form {@code vm.incarnation.epoch.unique}.
	 * @param text the text
	 * @return the key
	 * @throws IllegalArgumentException if the text has another form
	 */
	public static IdempotencyKey parse(String text) {
		String[] parts = text.split("\\.", -1);
		if (parts.length != PARTS) {
			throw new IllegalArgumentException("an idempotency key has the form vm.incarnation.epoch.unique");
		}
		return new IdempotencyKey(new VmName(parts[0]), Incarnation.parse(parts[1]), Long.parseLong(parts[2]),
				parts[3]);
	}

	/**
	 * Returns the prefix that callers complete with a unique part.
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
