package org.lovagevale.settings;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.lovagevale.base.Region;
import org.lovagevale.settings.model.Priority;

/**
 * The effective values of one object in the tree, each with its origins.
 *
 * <p>
 * Immutable and thread-safe.
 */
final class Values {

	private final Map<String, Value> values;

	private Values(Map<String, Value> values) {
		this.values = values;
	}

	static Values defaultsOf(SettingGroup group) {
		Map<String, Value> values = new LinkedHashMap<>();
		for (Setting setting : group.settings()) {
			Object value = setting.defaultValue();
			if (value != null) {
				values.put(setting.name(), new Value(value, List.of(Location.BUILT_IN)));
			}
		}
		return new Values(values);
	}

	Values with(String name, Value value) {
		return withAll(Map.of(name, value));
	}

	Values withAll(Map<String, Value> others) {
		Map<String, Value> copy = new LinkedHashMap<>(this.values);
		copy.putAll(others);
		return new Values(copy);
	}

	Map<String, Value> toMap() {
		return this.values;
	}

	boolean has(String name) {
		return this.values.containsKey(name);
	}

	Value get(String name) {
		Value value = this.values.get(name);
		if (value == null) {
			throw new IllegalStateException("there is no value for setting " + name);
		}
		return value;
	}

	long number(String name) {
		return (Long) get(name).value();
	}

	int integer(String name) {
		return Math.toIntExact(number(name));
	}

	boolean flag(String name) {
		return (Boolean) get(name).value();
	}

	String text(String name) {
		return (String) get(name).value();
	}

	Priority priority() {
		return (Priority) get("priority").value();
	}

	@SuppressWarnings("unchecked")
	Set<Region> homeRegions() {
		return (Set<Region>) get("homeRegions").value();
	}

}
