package org.lovagevale.settings;

import org.jspecify.annotations.Nullable;

/**
 * One setting: everything that the checks and the reference page need to know about it.
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
 * @param serviceOnly whether the setting concerns a service as a whole and cannot be set
 * on a route
 * @param sentence what it does, in one sentence
 */
record Setting(String name, SettingType type, String unit, long minimum, long maximum, @Nullable Object defaultValue,
		boolean serviceOnly, String sentence) {

	static Setting integer(String name, String unit, long minimum, long maximum, long defaultValue, String sentence) {
		return new Setting(name, SettingType.INTEGER, unit, minimum, maximum, defaultValue, false, sentence);
	}

	static Setting requiredInteger(String name, String unit, long minimum, long maximum, String sentence) {
		return new Setting(name, SettingType.INTEGER, unit, minimum, maximum, null, false, sentence);
	}

	static Setting of(String name, SettingType type, Object defaultValue, String sentence) {
		return new Setting(name, type, "", 0, 0, defaultValue, false, sentence);
	}

	static Setting required(String name, SettingType type, String sentence) {
		return new Setting(name, type, "", 0, 0, null, false, sentence);
	}

	Setting forServiceOnly() {
		return new Setting(this.name, this.type, this.unit, this.minimum, this.maximum, this.defaultValue, true,
				this.sentence);
	}

	boolean isInRange(long value) {
		return value >= this.minimum && value <= this.maximum;
	}

}
