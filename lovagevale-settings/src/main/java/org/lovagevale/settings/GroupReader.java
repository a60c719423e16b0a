package org.lovagevale.settings;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.BiConsumer;

import com.fasterxml.jackson.core.JsonToken;
import org.jspecify.annotations.Nullable;
import org.lovagevale.base.Names;
import org.lovagevale.base.Region;
import org.lovagevale.settings.model.Priority;

/**
 * Reads the settings of an object, checks them against their definitions and merges them
 * with inherited values.
 *
 * <p>
 * An invalid value is reported and ignored, so that the remaining values are checked too.
 * Not thread-safe.
 */
final class GroupReader {

	private final ErrorList errors;

	private final Set<String> regions;

	GroupReader(ErrorList errors, Set<String> regions) {
		this.errors = errors;
		this.regions = regions;
	}

	/**
	 * Reads an object.
	 * @param node the object, or {@code null} if the tree does not have it
	 * @param group the settings that the object may have
	 * @param inherited the values for members that the object does not have
	 * @return the effective values
	 */
	Values read(@Nullable TreeNode node, SettingGroup group, Values inherited) {
		Optional<TreeObject> object = asObject(node);
		if (object.isEmpty()) {
			return inherited;
		}
		Map<String, Value> ownValues = new LinkedHashMap<>();
		object.get().members().forEach((name, member) -> readMember(name, member, group, inherited, ownValues));
		for (Setting setting : group.settings()) {
			if (setting.defaultValue() == null && object.get().member(setting.name()) == null) {
				this.errors.add(object.get().location(), "missing member \"" + setting.name() + "\"");
			}
		}
		return inherited.withAll(ownValues);
	}

	/**
	 * Casts a node to an object and reports an error if it is of another kind.
	 * @param node the node, or {@code null} if the tree does not have it
	 * @return the object, or empty if it is absent or of another kind
	 */
	Optional<TreeObject> asObject(@Nullable TreeNode node) {
		if (node instanceof TreeObject object) {
			return Optional.of(object);
		}
		if (node != null) {
			this.errors.add(node.location(), "expected an object, but found " + node.kind());
		}
		return Optional.empty();
	}

	/**
	 * Visits the objects in a container such as "services", whose member names are chosen
	 * by operators.
	 * @param parent the object that has the container as a member
	 * @param member the member name of the container
	 * @param visitor called with the name and the object of each child
	 */
	void forEachChild(TreeObject parent, String member, BiConsumer<String, TreeObject> visitor) {
		asObject(parent.member(member)).ifPresent((object) -> object.members()
			.forEach((name, node) -> asObject(node).ifPresent((child) -> visitor.accept(name, child))));
	}

	/**
	 * Checks a name and reports an error if it is invalid.
	 * @param name the name
	 * @param location its location
	 * @return {@code true} if it is valid
	 */
	boolean checkName(String name, Location location) {
		boolean valid = Names.isValid(name);
		if (!valid) {
			this.errors.add(location,
					"invalid name; expected 1 to 63 characters of a-z, 0-9 and hyphen, not starting with a hyphen");
		}
		return valid;
	}

	private void readMember(String name, TreeNode node, SettingGroup group, Values inherited,
			Map<String, Value> ownValues) {
		Optional<Setting> setting = group.setting(name);
		if (setting.isEmpty()) {
			if (!group.childMembers().contains(name)) {
				this.errors.addUnknown(node.location(), "unknown member", name, group.memberNames());
			}
			return;
		}
		Object value = toValue(setting.get(), node);
		if (value != null) {
			Value own = new Value(value, List.of(node.location()));
			ownValues.put(name, merge(setting.get(), inherited, own));
		}
	}

	private Value merge(Setting setting, Values inherited, Value own) {
		return switch (setting.type()) {
			case OUT -> isOut(inherited) ? inherited.get("out") : own;
			case REGIONS -> intersect(inherited.get("homeRegions"), own);
			default -> own;
		};
	}

	private static boolean isOut(Values inherited) {
		return inherited.has("out") && inherited.flag("out");
	}

	private Value intersect(Value outer, Value inner) {
		Set<?> outerRegions = (Set<?>) outer.value();
		if (outerRegions.isEmpty()) {
			return inner;
		}
		Set<Object> common = new TreeSet<>((Set<?>) inner.value());
		common.retainAll(outerRegions);
		if (common.isEmpty()) {
			this.errors.add(inner.origins().getFirst(),
					"no region in common with " + RegionText.of(outerRegions) + " from " + outer.origins().getLast());
			return inner;
		}
		List<Location> origins = new ArrayList<>(outer.origins());
		origins.addAll(inner.origins());
		return new Value(common, List.copyOf(origins));
	}

	private @Nullable Object toValue(Setting setting, TreeNode node) {
		return switch (setting.type()) {
			case INTEGER -> toInteger(setting, node);
			case BOOLEAN, OUT -> toBoolean(setting, node);
			case NAME -> toName(setting, node);
			case IP -> toIpAddress(setting, node);
			case PRIORITY -> toPriority(setting, node);
			case REGIONS -> toRegions(setting, node);
		};
	}

	private @Nullable Long toInteger(Setting setting, TreeNode node) {
		if (!(node instanceof TreeScalar scalar) || scalar.token() != JsonToken.VALUE_NUMBER_INT) {
			return reportUnexpectedValue(setting, node);
		}
		Optional<Long> value = parseLong(scalar.text()).filter(setting::isInRange);
		if (value.isEmpty()) {
			this.errors.add(node.location(), "out of range; expected " + setting.minimum() + " to " + setting.maximum()
					+ (setting.unit().isEmpty() ? "" : " " + setting.unit()));
		}
		return value.orElse(null);
	}

	private static Optional<Long> parseLong(String digits) {
		try {
			return Optional.of(Long.parseLong(digits));
		}
		catch (NumberFormatException ex) {
			return Optional.empty();
		}
	}

	private @Nullable Boolean toBoolean(Setting setting, TreeNode node) {
		if (node instanceof TreeScalar scalar && scalar.token().isBoolean()) {
			return scalar.token() == JsonToken.VALUE_TRUE;
		}
		return reportUnexpectedValue(setting, node);
	}

	private @Nullable String toName(Setting setting, TreeNode node) {
		Optional<String> name = textOf(node);
		if (name.isEmpty()) {
			return reportUnexpectedValue(setting, node);
		}
		return checkName(name.get(), node.location()) ? name.get() : null;
	}

	private @Nullable String toIpAddress(Setting setting, TreeNode node) {
		Optional<String> address = textOf(node).flatMap(IpAddresses::toCanonical);
		return address.isPresent() ? address.get() : reportUnexpectedValue(setting, node);
	}

	private @Nullable Priority toPriority(Setting setting, TreeNode node) {
		String text = textOf(node).orElse("");
		for (Priority priority : Priority.values()) {
			if (priority.name().toLowerCase(Locale.ROOT).equals(text)) {
				return priority;
			}
		}
		return reportUnexpectedValue(setting, node);
	}

	private @Nullable Set<Region> toRegions(Setting setting, TreeNode node) {
		if (!(node instanceof TreeArray array)) {
			return reportUnexpectedValue(setting, node);
		}
		if (array.items().isEmpty()) {
			this.errors.add(node.location(), "the list is empty; leave the member out to allow all regions");
			return null;
		}
		Set<Region> found = new TreeSet<>();
		for (TreeNode item : array.items()) {
			toRegion(item).ifPresent(found::add);
		}
		return found.isEmpty() ? null : found;
	}

	private Optional<Region> toRegion(TreeNode item) {
		Optional<String> name = textOf(item);
		if (name.isEmpty()) {
			this.errors.add(item.location(), "expected the name of a region, but found " + item.kind());
			return Optional.empty();
		}
		if (!this.regions.contains(name.get())) {
			this.errors.addUnknown(item.location(), "unknown region", name.get(), this.regions);
			return Optional.empty();
		}
		return Names.isValid(name.get()) ? Optional.of(new Region(name.get())) : Optional.empty();
	}

	private static Optional<String> textOf(TreeNode node) {
		boolean isText = node instanceof TreeScalar scalar && scalar.token() == JsonToken.VALUE_STRING;
		return isText ? Optional.of(((TreeScalar) node).text()) : Optional.empty();
	}

	private <T> @Nullable T reportUnexpectedValue(Setting setting, TreeNode node) {
		String found = (node instanceof TreeScalar scalar && scalar.token() == JsonToken.VALUE_STRING)
				? "\"" + shorten(scalar.text()) + "\"" : node.kind();
		this.errors.add(node.location(), "expected " + setting.type().expectation() + ", but found " + found);
		return null;
	}

	private static String shorten(String text) {
		String printable = TreePosition.toOneLine(text);
		return (printable.length() <= 40) ? printable : printable.substring(0, 40) + "...";
	}

}
