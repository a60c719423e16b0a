package org.lovagevale.settings;

/**
 * The types of settings.
 */
public enum SettingType {

	/** A whole number with a range. */
	INTEGER("an integer"),

	/** True or false. */
	BOOLEAN("true or false"),

	/** A switch that is inherited downwards and cannot be cleared below. */
	OUT("true or false"),

	/** A name as in {@link org.lovagevale.base.Names}. */
	NAME("a name of a-z, 0-9 and hyphen"),

	/** An IPv4 or IPv6 address. */
	IP("an IPv4 or IPv6 address"),

	/** A priority under overload. */
	PRIORITY("\"critical\", \"normal\" or \"background\""),

	/** A list of regions that is intersected with inherited ones. */
	REGIONS("a list of region names");

	private final String expectation;

	SettingType(String expectation) {
		this.expectation = expectation;
	}

	/**
	 * Describes the values of this type.
	 * @return what is expected, for error messages and the reference page
	 */
	public String expectation() {
		return this.expectation;
	}

}
