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
import org.lovagevale.settings.model.RouteSettings;
import org.lovagevale.settings.model.ServiceSettings;
import org.lovagevale.settings.model.Settings;

/**
 * Builds the settings model from the effective values of a valid tree.
 *
 * <p>
 * Thread-safe.
 */
final class SettingsAssembler {

	Settings assemble(long version, ResolvedTree tree) {
		return new Settings(version, tree.root().values().text("deployment"),
				sortedByName(tree.domains(), this::toDomain), sortedByName(tree.entryVms(), this::toEntryVm),
				toServices(tree.services()), sortedByName(tree.accounts(), this::toAccount),
				toExchange(valuesOf(tree, "exchange")), toKeys(valuesOf(tree, "keys")),
				toQuarantine(valuesOf(tree, "quarantine")), toMeasuring(valuesOf(tree, "measuring")),
				toAddresses(valuesOf(tree, "addresses")));
	}

	private static Values valuesOf(ResolvedTree tree, String name) {
		ResolvedObject group = tree.groups().get(name);
		if (group == null) {
			throw new IllegalStateException("the settings tree has no group " + name);
		}
		return group.values();
	}

	private static <T> List<T> sortedByName(List<ResolvedObject> objects, Function<ResolvedObject, T> toModel) {
		return objects.stream().sorted(Comparator.comparing(ResolvedObject::name)).map(toModel).toList();
	}

	private DomainSettings toDomain(ResolvedObject object) {
		return new DomainSettings(new FailureDomain(object.name()), toRegion(object), object.values().flag("out"));
	}

	private EntryVm toEntryVm(ResolvedObject object) {
		Values values = object.values();
		return new EntryVm(new VmName(object.name()), new FailureDomain(values.text("domain")), toRegion(object),
				values.text("host"), values.integer("callerPort"), values.integer("peerPort"),
				values.integer("adminPort"), values.flag("out"));
	}

	private static Region toRegion(ResolvedObject object) {
		return new Region(object.values().text("region"));
	}

	private List<ServiceSettings> toServices(List<ResolvedService> services) {
		return services.stream()
			.sorted(Comparator.comparing((service) -> service.service().name()))
			.map(this::toService)
			.toList();
	}

	private ServiceSettings toService(ResolvedService service) {
		ServiceName name = new ServiceName(service.service().name());
		List<RouteSettings> routes = service.routes().stream().map(this::toRoute).toList();
		return new ServiceSettings(name, toPolicy(service.service().values()), routes,
				sortedByName(service.servers(), (server) -> toServer(name, server)));
	}

	private RouteSettings toRoute(ResolvedObject object) {
		RouteName name = RouteName.parse(object.name()).orElseThrow();
		return new RouteSettings(object.name(), name.method(), name.pathPrefix(), object.values().flag("idempotent"),
				toPolicy(object.values()));
	}

	private static BackendServer toServer(ServiceName service, ResolvedObject object) {
		Values values = object.values();
		return new BackendServer(new ServerName(object.name()), service, new FailureDomain(values.text("domain")),
				toRegion(object), values.text("host"), values.integer("port"), values.flag("out"),
				values.flag("drain"));
	}

	private AccountSettings toAccount(ResolvedObject object) {
		Values values = object.values();
		return new AccountSettings(new AccountName(object.name()), values.homeRegions(),
				values.integer("ratePerSecond"), values.integer("burst"), values.integer("weight"));
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
