package org.lovagevale.settings;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * The settings that a kind of object in the tree may have.
 *
 * <p>
 * Immutable and thread-safe.
 */
final class SettingGroup {

	private final String title;

	private final String path;

	private final List<Setting> settings;

	private final Map<String, Setting> settingsByName = new LinkedHashMap<>();

	private final List<String> childMembers;

	/**
	 * Creates a group.
	 * @param title the title on the reference page
	 * @param path the path or paths of such objects in the tree, with "*" for names
	 * chosen by operators; empty for the root
	 * @param settings the settings of such an object
	 * @param childMembers the names of the members that contain further objects
	 */
	SettingGroup(String title, String path, List<Setting> settings, List<String> childMembers) {
		this.title = title;
		this.path = path;
		settings.forEach((setting) -> this.settingsByName.put(setting.name(), setting));
		this.settings = List.copyOf(settings);
		this.childMembers = List.copyOf(childMembers);
	}

	String title() {
		return this.title;
	}

	String path() {
		return this.path;
	}

	List<Setting> settings() {
		return this.settings;
	}

	Optional<Setting> setting(String name) {
		return Optional.ofNullable(this.settingsByName.get(name));
	}

	List<String> childMembers() {
		return this.childMembers;
	}

	List<String> memberNames() {
		return Stream.concat(this.settingsByName.keySet().stream(), this.childMembers.stream()).toList();
	}

}
