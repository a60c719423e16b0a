package org.lovagevale.settings;

import org.jspecify.annotations.Nullable;

/**
 * The definition of a setting, used by the checks and the reference page.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param name the member name
 * @param type the type
 * @param unit the unit, empty if it has none
 * @param minimum the smallest integer allowed; 0 for other types
 * @param maximum the largest integer allowed; 0 for other types
 * @param defaultValue the default, or {@code null} if the member is required
 * @param serviceOnly whether the setting applies to a service as a whole and cannot be
 * set on a route
 * @param description the meaning of the setting, in one sentence
 */
record Setting(String name, SettingType type, String unit, long minimum, long maximum, @Nullable Object defaultValue,
		boolean serviceOnly, String description) {

	static Setting integer(String name, String unit, long minimum, long maximum, long defaultValue,
			String description) {
		return new Setting(name, SettingType.INTEGER, unit, minimum, maximum, defaultValue, false, description);
	}

	static Setting requiredInteger(String name, String unit, long minimum, long maximum, String description) {
		return new Setting(name, SettingType.INTEGER, unit, minimum, maximum, null, false, description);
	}

	static Setting of(String name, SettingType type, Object defaultValue, String description) {
		return new Setting(name, type, "", 0, 0, defaultValue, false, description);
	}

	static Setting required(String name, SettingType type, String description) {
		return new Setting(name, type, "", 0, 0, null, false, description);
	}

	Setting asServiceOnly() {
		return new Setting(this.name, this.type, this.unit, this.minimum, this.maximum, this.defaultValue, true,
				this.description);
	}

	boolean isInRange(long value) {
		return value >= this.minimum && value <= this.maximum;
	}

}
