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
 * The settings in force, with lookups in their list of entry VMs.
 *
 * <p>
 * Invariant: the version never decreases. Not thread-safe.
 */
final class ActiveSettings {

	private final VmName self;

	private final Map<VmName, EntryVm> vms = new HashMap<>();

	private @Nullable Settings settings;

	private String content = "";

	ActiveSettings(VmName self) {
		this.self = self;
	}

	void adopt(Settings settings, String content) {
		if (settings.version() <= version()) {
			throw new IllegalArgumentException(
					"settings version " + settings.version() + " is not above the current version " + version());
		}
		this.settings = settings;
		this.content = content;
		this.vms.clear();
		settings.entryVms().forEach((vm) -> this.vms.put(vm.name(), vm));
	}

	@Nullable Settings settings() {
		return this.settings;
	}

	String content() {
		return this.content;
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

	@Nullable EntryVm vm(VmName name) {
		return this.vms.get(name);
	}

	boolean isPublished(VmName name) {
		return this.vms.containsKey(name);
	}

	@Nullable Region ownRegion() {
		EntryVm own = this.vms.get(this.self);
		return (own != null) ? own.region() : null;
	}

	List<EntryVm> entryVmsIn(Region region) {
		return entryVms().stream().filter((vm) -> vm.region().equals(region)).toList();
	}

	/**
	 * Tells whether the region of a VM is among the given home regions, so that data may
	 * be sent to it.
	 * @param name the name of the VM
	 * @param regions the home regions, empty for all regions
	 * @return {@code true} if it is; {@code false} also if its region is not known
	 */
	boolean isInHomeRegions(VmName name, Set<Region> regions) {
		EntryVm vm = this.vms.get(name);
		return regions.isEmpty() || (vm != null && regions.contains(vm.region()));
	}

	/**
	 * Tells whether the region of this process is among the given home regions, so that
	 * it may use a message.
	 * @param regions the names of the home regions, empty for all regions
	 * @return {@code true} if it is; {@code false} also if its region is not known
	 */
	boolean isSelfInHomeRegions(List<String> regions) {
		Region own = ownRegion();
		return regions.isEmpty() || (own != null && regions.contains(own.value()));
	}

}
