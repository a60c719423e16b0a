package org.lovagevale.settings;

/**
 * The types of settings.
 */
public enum SettingType {

	/** A whole number with a range. */
	INTEGER("an integer"),

	/** True or false. */
	BOOLEAN("true or false"),

	/** A boolean that descendants inherit; they cannot reset it to {@code false}. */
	OUT("true or false"),

	/** A name that is valid according to {@link org.lovagevale.base.Names}. */
	NAME("a name of a-z, 0-9 and hyphen"),

	/** An IPv4 or IPv6 address. */
	IP("an IPv4 or IPv6 address"),

	/** A priority under overload. */
	PRIORITY("\"critical\", \"normal\" or \"background\""),

	/** A list of regions, intersected with the inherited list. */
	REGIONS("a list of region names");

	private final String expectation;

	SettingType(String expectation) {
		this.expectation = expectation;
	}

	/**
	 * Describes the values of this type, for error messages and the reference page.
	 * @return the description, to follow the word "expected"
	 */
	public String expectation() {
		return this.expectation;
	}

}
