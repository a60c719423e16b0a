package org.lovagevale.settings;

import java.util.Collection;
import java.util.Locale;

import org.lovagevale.settings.model.Priority;

/**
 * Generates the reference page of all settings from the table used by the checks.
 *
 * <p>
 * Thread-safe.
 */
public final class SettingsReference {

	private static final String INTRODUCTION = """
			# Settings reference

			Generated from `SettingsTable`; do not edit. A test compares this page with the table; run it with
			`-Dlovagevale.writeReference=true` to write the page again.

			The tree is JSON with `//` and `/* */` comments, at most %d bytes and %d levels deep. Unknown members,
			duplicate members and duplicate addresses are errors. A policy inherits from `defaults` to the service's
			`policy` to the route's `policy`; a client account inherits from its parent. `homeRegions` given at several
			levels are intersected. `out` is inherited downwards from region to failure domain to VM and server.
			""";

	private static final String GATEWAY_ARGUMENTS = """

			## Arguments of lovagevale-gateway

			Place: the command of the process, behind the program. The tree does not contain them.

			| name | type | unit | range | default | meaning |
			| --- | --- | --- | --- | --- | --- |
			| `--second-send-share` | a number | - | 0 to 0.2 | 0 | The permitted hedged requests per first attempt of a service, 0 for none. |
			| `--region-overflow` | true or false | - | - | false | Whether dispatchers move requests to other regions before their own region is full. |
			""";

	private SettingsReference() {
	}

	/**
	 * Generates the page.
	 * @return the page as Markdown
	 */
	public static String toMarkdown() {
		StringBuilder page = new StringBuilder(
				String.format(Locale.ROOT, INTRODUCTION, TreeParser.MAX_BYTES, TreeParser.MAX_DEPTH));
		SettingsTable.groups().forEach((group) -> appendGroup(page, group));
		return page.append(GATEWAY_ARGUMENTS).toString();
	}

	private static void appendGroup(StringBuilder page, SettingGroup group) {
		page.append("\n## ").append(group.title()).append("\n\n");
		page.append("Place: ").append(group.path().isEmpty() ? "the root of the tree" : "`" + group.path() + "`");
		page.append(".\n");
		if (!group.childMembers().isEmpty()) {
			page.append("Contains: `").append(String.join("`, `", group.childMembers())).append("`.\n");
		}
		if (!group.settings().isEmpty()) {
			page.append("\n| name | type | unit | range | default | meaning |\n");
			page.append("| --- | --- | --- | --- | --- | --- |\n");
			group.settings().forEach((setting) -> appendSetting(page, setting));
		}
	}

	private static void appendSetting(StringBuilder page, Setting setting) {
		boolean integer = setting.type() == SettingType.INTEGER;
		String scope = setting.serviceOnly() ? " Not on a route." : "";
		page.append(String.join(" | ", "| `" + setting.name() + "`", setting.type().expectation(),
				setting.unit().isEmpty() ? "-" : setting.unit(),
				integer ? setting.minimum() + " to " + setting.maximum() : "-", defaultOf(setting),
				setting.description() + scope + " |\n"));
	}

	private static String defaultOf(Setting setting) {
		return switch (setting.defaultValue()) {
			case null -> "required";
			case Priority priority -> priority.name().toLowerCase(Locale.ROOT);
			case Collection<?> regions -> "all";
			case Object value -> value.toString();
		};
	}

}
