package org.lovagevale.settings;

import java.lang.reflect.RecordComponent;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Compares two records of the settings model component by component.
 *
 * <p>
 * Thread-safe.
 */
final class RecordDiff {

	private RecordDiff() {
	}

	/**
	 * Describes the components that differ.
	 * @param older the older record
	 * @param newer the newer record of the same class
	 * @param ignored the names of components that are not compared
	 * @return one description for each differing component: its name, old value and new
	 * value
	 */
	static List<String> describe(Record older, Record newer, Set<String> ignored) {
		List<String> differences = new ArrayList<>();
		for (RecordComponent component : older.getClass().getRecordComponents()) {
			Object before = valueOf(component, older);
			Object after = valueOf(component, newer);
			if (!ignored.contains(component.getName()) && !Objects.equals(before, after)) {
				differences.add(component.getName() + " " + toText(before) + " -> " + toText(after));
			}
		}
		return differences;
	}

	private static Object valueOf(RecordComponent component, Record instance) {
		try {
			return component.getAccessor().invoke(instance);
		}
		catch (ReflectiveOperationException ex) {
			throw new IllegalStateException("cannot read record component " + component.getName(), ex);
		}
	}

	private static String toText(Object value) {
		if (value instanceof Collection<?> regions) {
			return regions.isEmpty() ? "all"
					: regions.stream().map(Object::toString).sorted().collect(Collectors.joining(", ", "[", "]"));
		}
		return (value instanceof Enum<?> constant) ? constant.name().toLowerCase(Locale.ROOT) : value.toString();
	}

}
