package org.lovagevale.settings.model;

import java.util.List;
import java.util.Optional;

import org.lovagevale.base.AccountName;
import org.lovagevale.base.ServiceName;
import org.lovagevale.base.VmName;

/**
 * One version of the settings of a deployment, validated and with all defaults applied.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param version the version given by the platform, positive and increasing
 * @param deployment the name of the deployment
 * @param domains the failure domains, in order of name
 * @param entryVms the entry VMs, in order of name
 * @param services the services, in order of name
 * @param accounts the client accounts, in order of name
 * @param exchange the settings of the exchange between entry processes
 * @param keys the settings of idempotency keys
 * @param quarantine the settings of the quarantine
 * @param measuring the settings of probes and cold starts
 * @param addresses the settings of the responses with entry VM addresses for callers
 */
public record Settings(long version, String deployment, List<DomainSettings> domains, List<EntryVm> entryVms,
		List<ServiceSettings> services, List<AccountSettings> accounts, ExchangeSettings exchange, KeySettings keys,
		QuarantineSettings quarantine, MeasuringSettings measuring, AddressSettings addresses) {

	/**
	 * Copies the lists.
	 */
	public Settings {
		domains = List.copyOf(domains);
		entryVms = List.copyOf(entryVms);
		services = List.copyOf(services);
		accounts = List.copyOf(accounts);
	}

	/**
	 * Finds an entry VM.
	 * @param name its name
	 * @return the VM, or empty if the tree does not have it
	 */
	public Optional<EntryVm> entryVm(VmName name) {
		return this.entryVms.stream().filter((vm) -> vm.name().equals(name)).findFirst();
	}

	/**
	 * Finds a service.
	 * @param name its name
	 * @return the service, or empty if the tree does not have it
	 */
	public Optional<ServiceSettings> service(ServiceName name) {
		return this.services.stream().filter((service) -> service.name().equals(name)).findFirst();
	}

	/**
	 * Finds a client account.
	 * @param name its name
	 * @return the account, or empty if the tree does not have it
	 */
	public Optional<AccountSettings> account(AccountName name) {
		return this.accounts.stream().filter((account) -> account.name().equals(name)).findFirst();
	}

}
