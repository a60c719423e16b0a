package org.lovagevale.settings;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * The settings that one kind of object in the tree may have.
 *
 * <p>
 * Immutable and thread-safe.
 */
final class SettingGroup {

	private final String title;

	private final String place;

	private final List<Setting> list;

	private final Map<String, Setting> settings = new LinkedHashMap<>();

	private final List<String> branches;

	/**
	 * Creates a group.
	 * @param title the title on the reference page
	 * @param place where the object is in the tree
	 * @param settings its settings
	 * @param branches its members that hold further objects
	 */
	SettingGroup(String title, String place, List<Setting> settings, List<String> branches) {
		this.title = title;
		this.place = place;
		settings.forEach((setting) -> this.settings.put(setting.name(), setting));
		this.list = List.copyOf(settings);
		this.branches = List.copyOf(branches);
	}

	String title() {
		return this.title;
	}

	String place() {
		return this.place;
	}

	List<Setting> settings() {
		return this.list;
	}

	Optional<Setting> setting(String name) {
		return Optional.ofNullable(this.settings.get(name));
	}

	List<String> branches() {
		return this.branches;
	}

	List<String> memberNames() {
		return Stream.concat(this.settings.keySet().stream(), this.branches.stream()).toList();
	}

}
