package org.lovagevale.settings;

import java.util.Comparator;
import java.util.List;
import java.util.function.Function;

import org.lovagevale.base.AccountName;
import org.lovagevale.base.FailureDomain;
import org.lovagevale.base.Region;
import org.lovagevale.base.ServerName;
import org.lovagevale.base.ServiceName;
import org.lovagevale.base.VmName;
import org.lovagevale.settings.model.AccountSettings;
import org.lovagevale.settings.model.AddressSettings;
import org.lovagevale.settings.model.BackendServer;
import org.lovagevale.settings.model.DomainSettings;
import org.lovagevale.settings.model.EntryVm;
import org.lovagevale.settings.model.ExchangeSettings;
import org.lovagevale.settings.model.KeySettings;
import org.lovagevale.settings.model.MeasuringSettings;
import org.lovagevale.settings.model.Policy;
import org.lovagevale.settings.model.QuarantineSettings;
import org.lovagevale.settings.model.Route;
import org.lovagevale.settings.model.ServiceSettings;
import org.lovagevale.settings.model.Settings;

/**
 * Builds the model from the effective values of a tree without errors.
 *
 * <p>
 * Thread-safe.
 */
final class SettingsAssembler {

	Settings assemble(long version, TreeContent tree) {
		return new Settings(version, tree.root().values().text("deployment"), sorted(tree.domains(), this::toDomain),
				sorted(tree.entryVms(), this::toEntryVm), toServices(tree.services()),
				sorted(tree.accounts(), this::toAccount), toExchange(values(tree, "exchange")),
				toKeys(values(tree, "keys")), toQuarantine(values(tree, "quarantine")),
				toMeasuring(values(tree, "measuring")), toAddresses(values(tree, "addresses")));
	}

	private static Values values(TreeContent tree, String name) {
		Place place = tree.groups().get(name);
		if (place == null) {
			throw new IllegalStateException("no group " + name);
		}
		return place.values();
	}

	private static <T> List<T> sorted(List<Place> places, Function<Place, T> toModel) {
		return places.stream().sorted(Comparator.comparing(Place::name)).map(toModel).toList();
	}

	private DomainSettings toDomain(Place place) {
		return new DomainSettings(new FailureDomain(place.name()), toRegion(place), place.values().flag("out"));
	}

	private EntryVm toEntryVm(Place place) {
		Values values = place.values();
		return new EntryVm(new VmName(place.name()), new FailureDomain(values.text("domain")), toRegion(place),
				values.text("host"), values.integer("callerPort"), values.integer("peerPort"),
				values.integer("adminPort"), values.flag("out"));
	}

	private static Region toRegion(Place place) {
		return new Region(place.values().text("region"));
	}

	private List<ServiceSettings> toServices(List<ServicePlace> services) {
		return services.stream()
			.sorted(Comparator.comparing((service) -> service.service().name()))
			.map(this::toService)
			.toList();
	}

	private ServiceSettings toService(ServicePlace place) {
		ServiceName name = new ServiceName(place.service().name());
		List<Route> routes = place.routes().stream().map(this::toRoute).toList();
		return new ServiceSettings(name, toPolicy(place.service().values()), routes,
				sorted(place.servers(), (server) -> toServer(name, server)));
	}

	private Route toRoute(Place place) {
		RouteName name = RouteName.parse(place.name()).orElseThrow();
		return new Route(place.name(), name.method(), name.pathPrefix(), place.values().flag("idempotent"),
				toPolicy(place.values()));
	}

	private static BackendServer toServer(ServiceName service, Place place) {
		Values values = place.values();
		return new BackendServer(new ServerName(place.name()), service, new FailureDomain(values.text("domain")),
				toRegion(place), values.text("host"), values.integer("port"), values.flag("out"), values.flag("drain"));
	}

	private AccountSettings toAccount(Place place) {
		Values values = place.values();
		return new AccountSettings(new AccountName(place.name()), values.homeRegions(), values.integer("ratePerSecond"),
				values.integer("burst"), values.integer("weight"));
	}

	private static Policy toPolicy(Values values) {
		return new Policy(values.number("timeoutMs"), values.number("maxRequestBytes"), values.number("idleTimeoutMs"),
				values.priority(), values.number("queueMs"), values.integer("queueLength"),
				values.integer("retryPercent"), values.number("hedgeAfterMs"), values.flag("keyRequired"),
				values.homeRegions(), values.integer("slots"), values.integer("connections"),
				values.integer("coldConcurrency"), values.integer("warmAfterAnswers"),
				values.integer("ejectMaxPercent"));
	}

	private static ExchangeSettings toExchange(Values values) {
		return new ExchangeSettings(values.integer("peerLinks"), values.number("digestMs"),
				values.number("unreachableMs"), values.integer("peerBytesPerSecond"), values.number("fenceMs"),
				values.integer("settingsReaders"), values.number("readerWindowMs"), values.number("watchMs"),
				values.number("selfReadMs"), values.number("noticeWaitMs"), values.number("clockSkewMs"));
	}

	private static KeySettings toKeys(Values values) {
		return new KeySettings(values.integer("capacity"), values.number("epochMs"), values.integer("validEpochs"),
				values.integer("replayBytes"));
	}

	private static QuarantineSettings toQuarantine(Values values) {
		return new QuarantineSettings(values.integer("strikes"), values.number("forgetMs"), values.integer("capacity"),
				values.integer("prefixBytes"));
	}

	private static MeasuringSettings toMeasuring(Values values) {
		return new MeasuringSettings(values.number("probeQuietMs"), values.integer("probesPerMinute"),
				values.number("coldWindowMs"), values.number("coldMinimumMs"));
	}

	private static AddressSettings toAddresses(Values values) {
		return new AddressSettings(values.integer("count"), values.number("validForMs"));
	}

}
