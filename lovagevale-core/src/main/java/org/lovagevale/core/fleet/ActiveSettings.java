package org.lovagevale.core.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.jspecify.annotations.Nullable;
import org.lovagevale.base.Region;
import org.lovagevale.base.VmName;
import org.lovagevale.settings.model.EntryVm;
import org.lovagevale.settings.model.ExchangeSettings;
import org.lovagevale.settings.model.KeySettings;
import org.lovagevale.settings.model.MeasuringSettings;
import org.lovagevale.settings.model.QuarantineSettings;
import org.lovagevale.settings.model.Settings;

/**
 * The settings in force, with lookups in the entry VMs that they publish.
 *
 * <p>
 * Invariant: the version never decreases. Not thread-safe.
 */
final class ActiveSettings {

	private final VmName self;

	private final Map<VmName, EntryVm> entryVmsByName = new HashMap<>();

	private @Nullable Settings settings;

	private String publishedTree = "";

	ActiveSettings(VmName self) {
		this.self = self;
	}

	/**
	 * Puts a newer version of the settings in force.
	 * @param settings the settings
	 * @param publishedTree the settings tree as published
	 * @throws IllegalArgumentException if the version is not above the current one
	 */
	void adopt(Settings settings, String publishedTree) {
		if (settings.version() <= version()) {
			throw new IllegalArgumentException(
					"settings version " + settings.version() + " is not above the current version " + version());
		}
		this.settings = settings;
		this.publishedTree = publishedTree;
		this.entryVmsByName.clear();
		settings.entryVms().forEach((vm) -> this.entryVmsByName.put(vm.name(), vm));
	}

	@Nullable Settings settings() {
		return this.settings;
	}

	/**
	 * Returns the settings tree as published, which is sent to peers.
	 * @return the settings tree, empty if no settings are in force
	 */
	String publishedTree() {
		return this.publishedTree;
	}

	long version() {
		return (this.settings != null) ? this.settings.version() : 0;
	}

	ExchangeSettings exchange() {
		return (this.settings != null) ? this.settings.exchange() : ExchangeSettings.defaults();
	}

	MeasuringSettings measuring() {
		return (this.settings != null) ? this.settings.measuring() : MeasuringSettings.defaults();
	}

	QuarantineSettings quarantine() {
		return (this.settings != null) ? this.settings.quarantine() : QuarantineSettings.defaults();
	}

	KeySettings keys() {
		return (this.settings != null) ? this.settings.keys() : KeySettings.defaults();
	}

	List<EntryVm> entryVms() {
		return (this.settings != null) ? this.settings.entryVms() : List.of();
	}

	@Nullable EntryVm entryVm(VmName name) {
		return this.entryVmsByName.get(name);
	}

	boolean isPublished(VmName name) {
		return this.entryVmsByName.containsKey(name);
	}

	@Nullable Region ownRegion() {
		EntryVm own = this.entryVmsByName.get(this.self);
		return (own != null) ? own.region() : null;
	}

	List<EntryVm> entryVmsIn(Region region) {
		return entryVms().stream().filter((vm) -> vm.region().equals(region)).toList();
	}

	/**
	 * Tells whether data with the given home regions may be sent to a VM.
	 * @param name the name of the VM
	 * @param regions the home regions, empty for all regions
	 * @return {@code true} if the home regions contain the region of the VM,
	 * {@code false} if they do not or if its region is not known
	 */
	boolean isInHomeRegions(VmName name, Set<Region> regions) {
		EntryVm vm = this.entryVmsByName.get(name);
		return regions.isEmpty() || (vm != null && regions.contains(vm.region()));
	}

	/**
	 * Tells whether this process may use data with the given home regions.
	 * @param regions the names of the home regions, empty for all regions
	 * @return {@code true} if the home regions contain the region of this process,
	 * {@code false} if they do not or if its region is not known
	 */
	boolean isSelfInHomeRegions(List<String> regions) {
		Region own = ownRegion();
		return regions.isEmpty() || (own != null && regions.contains(own.value()));
	}

}
