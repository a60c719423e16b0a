package org.lovagevale.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Reads the services with their policies, routes and backend servers.
 *
 * <p>
 * Not thread-safe.
 */
final class ServicesReader {

	private final ErrorList errors;

	private final GroupReader reader;

	private final RegionsReader regionsReader;

	private final UniquenessCheck uniqueRouteNames;

	private final UniquenessCheck uniqueVmAndServerNames;

	private final UniquenessCheck uniqueAddresses;

	private final List<ResolvedService> services = new ArrayList<>();

	ServicesReader(ErrorList errors, GroupReader reader, RegionsReader regionsReader,
			UniquenessCheck uniqueVmAndServerNames, UniquenessCheck uniqueAddresses) {
		this.errors = errors;
		this.reader = reader;
		this.regionsReader = regionsReader;
		this.uniqueRouteNames = new UniquenessCheck("route", errors);
		this.uniqueVmAndServerNames = uniqueVmAndServerNames;
		this.uniqueAddresses = uniqueAddresses;
	}

	/**
	 * Reads all services.
	 * @param root the root of the tree
	 * @param defaults the policy in the root member "defaults"
	 * @return the services in document order
	 */
	List<ResolvedService> read(TreeObject root, Values defaults) {
		this.reader.forEachChild(root, "services", (name, service) -> readService(name, service, defaults));
		return this.services;
	}

	private void readService(String name, TreeObject service, Values defaults) {
		this.reader.checkName(name, service.location());
		this.reader.read(service, SettingsTable.SERVICE, Values.defaultsOf(SettingsTable.SERVICE));
		Values policy = this.reader.read(service.member("policy"), SettingsTable.POLICY, defaults);
		new ConsistencyChecks(this.errors).checkColdConcurrency(policy);
		List<ResolvedObject> routes = readRoutes(service, policy);
		List<ResolvedObject> servers = new ArrayList<>();
		this.reader.forEachChild(service, "servers", (server, node) -> servers.add(readServer(server, node)));
		this.services.add(new ResolvedService(new ResolvedObject(service.location(), name, policy), routes, servers));
	}

	private List<ResolvedObject> readRoutes(TreeObject service, Values policy) {
		List<ResolvedObject> routes = new ArrayList<>();
		TreeNode node = service.member("routes");
		if (node == null) {
			this.errors.add(service.location(), "missing member \"routes\"; a service needs at least one route");
			return routes;
		}
		if (node instanceof TreeObject object && object.members().isEmpty()) {
			this.errors.add(node.location(), "no routes; a service needs at least one route");
		}
		this.reader.forEachChild(service, "routes", (name, route) -> routes.add(readRoute(name, route, policy)));
		return routes;
	}

	private ResolvedObject readRoute(String name, TreeObject route, Values servicePolicy) {
		Optional<RouteName> parsed = RouteName.parse(name);
		checkRouteName(name, parsed, route.location());
		boolean idempotent = parsed.isPresent() && parsed.get().isIdempotentByDefault();
		Values inherited = Values.defaultsOf(SettingsTable.ROUTE)
			.with("idempotent", new Value(idempotent, List.of(Location.BUILT_IN)));
		Values own = this.reader.read(route, SettingsTable.ROUTE, inherited);
		Values policy = this.reader.read(route.member("policy"), SettingsTable.POLICY, servicePolicy);
		if (route.member("policy") instanceof TreeObject object) {
			new ConsistencyChecks(this.errors).checkRoutePolicy(object);
		}
		return new ResolvedObject(route.location(), name, own.withAll(policy.toMap()));
	}

	private void checkRouteName(String name, Optional<RouteName> parsed, Location location) {
		if (parsed.isEmpty()) {
			this.errors.add(location, "invalid route; expected \"METHOD /prefix\" or \"* /prefix\"");
			return;
		}
		if (parsed.get().isReserved()) {
			this.errors.add(location, "paths under /.lovagevale are reserved for the entry process");
		}
		this.uniqueRouteNames.add(name, location);
	}

	private ResolvedObject readServer(String name, TreeObject server) {
		if (this.reader.checkName(name, server.location())) {
			this.uniqueVmAndServerNames.add(name, server.location());
		}
		Values own = this.reader.read(server, SettingsTable.SERVER, Values.defaultsOf(SettingsTable.SERVER));
		if (own.has("host") && own.has("port")) {
			this.uniqueAddresses.add(Endpoints.toText(own.text("host"), own.integer("port")),
					own.get("port").origins().getFirst());
		}
		return new ResolvedObject(server.location(), name, own.has("domain") ? withDomainValues(own) : own);
	}

	// Adds the region of the failure domain, and its "out" value if that is true.
	private Values withDomainValues(Values own) {
		String name = own.text("domain");
		ResolvedObject domain = this.regionsReader.domain(name);
		if (domain == null) {
			this.errors.addUnknown(own.get("domain").origins().getFirst(), "unknown failure domain \"" + name + "\"",
					name, this.regionsReader.domainNames());
			return own;
		}
		Values withRegion = own.with("region", domain.values().get("region"));
		return domain.values().flag("out") ? withRegion.withAll(Map.of("out", domain.values().get("out"))) : withRegion;
	}

}
