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
 * The effective values of a settings tree and their origins, grouped by branch. A branch
 * is an object of the tree and is identified by its path.
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
		ResolvedTree tree = new TreeReader().read(content);
		Map<String, List<EffectiveValue>> branches = new LinkedHashMap<>();
		add(branches, tree.root());
		add(branches, tree.defaults());
		addAll(branches, tree.regions());
		addAll(branches, tree.domains());
		addAll(branches, tree.entryVms());
		for (ResolvedService service : tree.services()) {
			add(branches, service.service());
			addAll(branches, service.routes());
			addAll(branches, service.servers());
		}
		addAll(branches, tree.accounts());
		addAll(branches, tree.groups().values());
		return new SettingsOrigins(branches);
	}

	/**
	 * Returns the paths of all branches.
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
		String prefix = trimSlashes(branch).isEmpty() ? "" : trimSlashes(branch) + "/";
		return this.branches.keySet()
			.stream()
			.filter((path) -> path.length() > prefix.length() && path.startsWith(prefix))
			.toList();
	}

	/**
	 * Returns the effective values of a branch.
	 * @param branch the path of the branch, empty for the root
	 * @return the values, those with a default first and in the order of the reference
	 * page; empty if there is no such branch
	 */
	public Optional<List<EffectiveValue>> values(String branch) {
		return Optional.ofNullable(this.branches.get(trimSlashes(branch)));
	}

	/**
	 * Returns a suggestion for an unknown branch, to append to an error message.
	 * @param branch the unknown path
	 * @return a question with the nearest path, or an empty string if no path is similar
	 */
	public String suggestion(String branch) {
		return NearestName.suggestion(trimSlashes(branch), this.branches.keySet());
	}

	private static String trimSlashes(String branch) {
		return branch.replaceAll("^/+|/+$", "");
	}

	private static void addAll(Map<String, List<EffectiveValue>> branches, Collection<ResolvedObject> objects) {
		objects.forEach((object) -> add(branches, object));
	}

	private static void add(Map<String, List<EffectiveValue>> branches, ResolvedObject object) {
		List<EffectiveValue> values = new ArrayList<>();
		object.values()
			.toMap()
			.forEach((name, value) -> values.add(new EffectiveValue(name, toPlain(value.value()), value.origins())));
		branches.put(object.location().path(), List.copyOf(values));
	}

	private static Object toPlain(Object value) {
		return switch (value) {
			case Priority priority -> priority.name().toLowerCase(Locale.ROOT);
			case Collection<?> regions -> regions.stream().map(Object::toString).sorted().toList();
			default -> value;
		};
	}

}
