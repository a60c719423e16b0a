package org.lovagevale.settings;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * The settings that one kind of object in the tree may have.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param title the title on the reference page
 * @param place where the object is in the tree
 * @param settings its settings
 * @param branches its members that hold further objects
 */
record SettingGroup(String title, String place, List<Setting> settings, List<String> branches) {

	Optional<Setting> setting(String name) {
		return this.settings.stream().filter((setting) -> setting.name().equals(name)).findFirst();
	}

	List<String> memberNames() {
		return Stream.concat(this.settings.stream().map(Setting::name), this.branches.stream()).toList();
	}

}
