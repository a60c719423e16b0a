package org.lovagevale.settings;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

import org.lovagevale.settings.model.Priority;

/**
 * The effective values of a tree by branch, each with the place that it comes from.
 *
 * <p>
 * Immutable and thread-safe.
 */
public final class SettingsOrigins {

	private final Map<String, List<EffectiveValue>> branches;

	private SettingsOrigins(Map<String, List<EffectiveValue>> branches) {
		this.branches = branches;
	}

	/**
	 * Reads a tree.
	 * @param content the tree as JSON with comments
	 * @return the effective values of all branches
	 * @throws SettingsException if the tree has any error
	 */
	public static SettingsOrigins read(String content) throws SettingsException {
		TreeContent tree = new TreeReader().read(content);
		Map<String, List<EffectiveValue>> branches = new LinkedHashMap<>();
		add(branches, tree.root());
		add(branches, tree.defaults());
		addAll(branches, tree.regions());
		addAll(branches, tree.domains());
		addAll(branches, tree.entryVms());
		for (ServicePlace service : tree.services()) {
			add(branches, service.service());
			addAll(branches, service.routes());
			addAll(branches, service.servers());
		}
		addAll(branches, tree.accounts());
		addAll(branches, tree.groups().values());
		return new SettingsOrigins(branches);
	}

	/**
	 * Returns the paths of all branches that have values.
	 * @return the paths, for example "services/transfers/routes/POST /transfers"
	 */
	public List<String> branches() {
		return List.copyOf(this.branches.keySet());
	}

	/**
	 * Returns the paths of the branches below a branch.
	 * @param branch the path of the branch, empty for the root
	 * @return the paths, empty if there are none
	 */
	public List<String> branchesBelow(String branch) {
		String prefix = trim(branch).isEmpty() ? "" : trim(branch) + "/";
		return this.branches.keySet()
			.stream()
			.filter((path) -> path.length() > prefix.length() && path.startsWith(prefix))
			.toList();
	}

	/**
	 * Returns the effective values of a branch.
	 * @param branch the path of the branch, empty for the root
	 * @return the values in the order of the reference page, or empty if no such branch
	 * has values
	 */
	public Optional<List<EffectiveValue>> values(String branch) {
		return Optional.ofNullable(this.branches.get(trim(branch)));
	}

	/**
	 * Words a suggestion for an unknown branch.
	 * @param branch the unknown path
	 * @return a question with the nearest known path, or an empty text if none is near
	 */
	public String suggestion(String branch) {
		return NearestName.suggestion(trim(branch), this.branches.keySet());
	}

	private static String trim(String branch) {
		return branch.replaceAll("^/+|/+$", "");
	}

	private static void addAll(Map<String, List<EffectiveValue>> branches, Collection<Place> places) {
		places.forEach((place) -> add(branches, place));
	}

	private static void add(Map<String, List<EffectiveValue>> branches, Place place) {
		List<EffectiveValue> values = new ArrayList<>();
		place.values()
			.toMap()
			.forEach((name, value) -> values.add(new EffectiveValue(name, toPlain(value.value()), value.origins())));
		branches.put(place.location().path(), List.copyOf(values));
	}

	private static Object toPlain(Object value) {
		return switch (value) {
			case Priority priority -> priority.name().toLowerCase(Locale.ROOT);
			case Collection<?> regions -> regions.stream().map(Object::toString).sorted().toList();
			default -> value;
		};
	}

}
